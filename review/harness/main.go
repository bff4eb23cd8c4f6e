// Command harness runs the cases of the review that can't be put as a day of the bench. It starts the
// daemon with the command of deploy/system.toml as separate processes on loopback addresses, and
// stand-ins for the platform's store, the workers and the clients, which follow the users' pages.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailed  = 2
	maxDuration = 110 * time.Second
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// setup is what each case gets.
type setup struct {
	daemon  string // path of the daemon's program
	trouble bool   // false runs the case without its disruption
	record  *record
	dir     string // temporary
}

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, s *setup) error{
	"endless-head": runEndlessHead,
}

func main() { os.Exit(run()) }

func run() int {
	daemon := flag.String("daemon", "target/tacktallyd", "path of the daemon's program")
	out := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	f := cases[flag.Arg(0)]
	if f == nil {
		fmt.Fprintln(os.Stderr, "harness: name a case")
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitFailed
	}
	defer r.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	s := &setup{daemon: *daemon, trouble: os.Getenv("TROUBLE") != "0", record: r, dir: dir}
	r.add("case %s, trouble %t", flag.Arg(0), s.trouble)
	switch err = f(ctx, s); {
	case err == nil:
		r.add("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("result: %v", err)
		fmt.Println(err)
		return exitBroken
	default:
		r.add("result: the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitFailed
	}
}
