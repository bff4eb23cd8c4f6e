// Command tacktallyd is the daemon that runs on an entry instance.
//
// Exit codes: 0 after a graceful shutdown, 1 when it can't run, 2 when its
// arguments or settings are wrong, 3 when an interrupt cut the shutdown short.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/tacktally/tacktally/internal/daemon"
	"github.com/tacktally/tacktally/internal/entry"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/platform"
)

const (
	exitFailed   = 1
	exitSettings = 2
	exitForced   = 3
)

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" default:"tacktallyd.json" description:"Settings file (JSON); docs/SETTINGS.md describes it"`
	Check    bool   `long:"check" description:"Check the settings, print every fault, and exit"`
	Version  bool   `long:"version" description:"Print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return 0
		}
		return exitSettings // go-flags has printed what is wrong
	}
	if o.Version {
		fmt.Println("tacktallyd", daemon.Version())
		return 0
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tacktallyd:", err)
		return exitSettings
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	return serve(o.Settings, s)
}

// instance is a running instance of either kind.
type instance interface {
	Run(ctx context.Context)
}

func serve(path string, s *settings.Settings) int {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP) // before anything listens: unhandled, it would end the process
	i, err := build(path, s, hangUps)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tacktallyd:", err)
		return exitFailed
	}
	ctx, stop := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		awaitInterrupt(signals)
		os.Exit(exitForced)
	}()
	i.Run(ctx)
	return 0
}

// awaitInterrupt blocks until an operator interrupts the shutdown. Supervisors repeat
// SIGTERM, which must not cut requests that run.
func awaitInterrupt(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGINT {
			return
		}
	}
}

// build makes the instance that the settings ask for.
func build(path string, s *settings.Settings, hangUps <-chan os.Signal) (instance, error) {
	if s.Routed == nil {
		return daemon.New(s, os.Stdout)
	}
	i, err := entry.New(entry.Options{
		Settings:  s,
		Source:    platform.NewSource(s.Routed.Store, time.Duration(s.Routed.ProveEvery)),
		Protocol:  platform.Protocol{},
		LogWriter: os.Stdout,
	})
	if err != nil {
		return nil, err
	}
	go reload(path, hangUps, i)
	return i, nil
}
