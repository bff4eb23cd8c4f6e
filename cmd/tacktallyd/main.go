// Command tacktallyd is the daemon: it runs one instance.
//
// Exit codes: 0 after a graceful shutdown, 1 if the instance can't start, 2 if the
// arguments or settings are invalid, 3 if an interrupt aborted the shutdown.
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
	Check    bool   `long:"check" description:"Validate the settings, print all faults, and exit"`
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
		return exitSettings // go-flags has printed the error
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

// instance is an instance of either kind: one for routed requests, or one that reads from the
// platform.
type instance interface {
	// Run serves requests until ctx is done, then shuts down gracefully.
	Run(ctx context.Context)
}

// serve runs an instance until a signal ends it, and returns the exit code.
func serve(path string, s *settings.Settings) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything listens, since an unhandled SIGHUP ends the process
	i, err := build(path, s, hangups)
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

// awaitInterrupt blocks until an operator interrupts the shutdown with SIGINT. Further SIGTERMs,
// which supervisors repeat, must not abort running requests.
func awaitInterrupt(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGINT {
			return
		}
	}
}

// build returns the instance that the settings describe. Signals on hangups make an instance for
// routed requests reload its settings.
func build(path string, s *settings.Settings, hangups <-chan os.Signal) (instance, error) {
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
	go reload(path, hangups, i)
	return i, nil
}
