// Command tacktallyd is the daemon that runs on an entry instance.
//
// Exit codes: 0 after a graceful shutdown, 1 when it can't run, 2 when its
// arguments or settings are wrong, 3 when a second signal cut the shutdown short.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/tacktally/tacktally/internal/daemon"
	"github.com/tacktally/tacktally/internal/settings"
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
	return serve(s)
}

func serve(s *settings.Settings) int {
	d, err := daemon.New(s, os.Stderr)
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
		<-signals
		os.Exit(exitForced)
	}()
	d.Run(ctx)
	return 0
}
