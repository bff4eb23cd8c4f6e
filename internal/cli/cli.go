// Package cli implements the operators' command line, tacktally.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/tacktally/tacktally/internal/daemon"
	"github.com/tacktally/tacktally/internal/routing"
)

// Exit codes of Run.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// globalOptions are the options that all commands share.
type globalOptions struct {
	Address   string `short:"a" long:"address" value-name:"URL" default:"http://127.0.0.1:8081" env:"TACKTALLY_ADDRESS" description:"Operators' address of any instance"`
	TokenFile string `long:"token-file" value-name:"FILE" env:"TACKTALLY_TOKEN_FILE" description:"File with the operators' bearer token"`
	Output    string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Output format"`
	Version   func() `long:"version" description:"Print the version and exit"`
}

// DecodeRouted decodes a configuration of routed requests from the form in which operators publish
// it.
type DecodeRouted func(content []byte) (*routing.Document, error)

// Platform holds the functions that depend on the users' platform.
type Platform struct {
	// Decode decodes a configuration of routed requests.
	Decode DecodeRouted
	// Demo runs an instance for routed requests with fake services until ctx is done.
	Demo func(ctx context.Context, out io.Writer) error
}

// session holds what all commands use.
type session struct {
	*globalOptions
	ctx      context.Context
	out      io.Writer
	platform Platform
}

// Run runs a command line and returns the exit code. SIGINT and SIGTERM cancel the command.
func Run(args []string, out, errOut io.Writer, platform Platform) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	g := &globalOptions{Version: func() {
		fmt.Fprintln(out, "tacktally", daemon.Version())
		os.Exit(ExitDone)
	}}
	s := &session{globalOptions: g, ctx: ctx, out: out, platform: platform}
	p := flags.NewParser(g, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "tacktally"
	p.LongDescription = "Shows, watches, explains and validates the resources that instances of tacktally use. " +
		"The configuration itself is published at the platform's configuration service. " +
		"Exit codes: 0 success, 1 the call failed or a document was rejected, 2 the arguments are invalid."
	addCommands(p, s)
	_, err := p.ParseArgs(args)
	return report(err, out, errOut)
}

func addCommands(p *flags.Parser, s *session) {
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"get", "List resources with their status", "Lists the resources of a kind (Organisation, Tier, EngineSet, Service), or shows one of them.", &getCommand{session: s}},
		{"watch", "Follow changes to resources", "Prints each change as it comes into force at the addressed instance.", &watchCommand{session: s}},
		{"validate", "Validate a document without publishing it", "Reports how every instance would decide about a document, with all faults and their remedies. With --routed, the document is validated without an instance.", &validateCommand{session: s}},
		{"explain", "Explain how a request would be served", "Explains how the addressed instance would serve a request now.", &explainCommand{session: s}},
		{"status", "Show an instance and its peers", "Shows the addressed instance: its revision, peers, keys and whether it is draining.", &statusCommand{session: s}},
		{"drain", "Begin a graceful shutdown", "Makes the addressed instance refuse new requests, finish those in progress, and exit.", &drainCommand{session: s}},
		{"hash-key", "Print the hash of an API key", "Reads an API key from standard input and prints its hash for an organisation's apiKeyHashes.", &hashKeyCommand{session: s}},
		{"trace", "Trace a request through logs", "Prints the log lines of a request from the logs of instances, and the events that may explain how it ended.", &traceCommand{session: s}},
		{"outcomes", "Count the outcomes of requests in logs", "Counts the outcomes of requests over time from the logs of instances, by reason, route, organisation, service or instance, and prints a table and a plot.", &outcomesCommand{session: s}},
		{"places", "Show evacuated zones and cold upstreams", "Shows the evacuated availability zones and the cold upstreams that instances for routed requests know, and the number of their requests in each zone. A zone is empty once no instance has requests there.", &placesCommand{session: s}},
		{"experiment", "Measure the scheduling policy", "Simulates the scheduling policy and the baselines in virtual time, and prints goodput by tier and wasted prefill.", &experimentCommand{session: s}},
		{"slopes", "Measure how costs grow with sizes", "Measures on this machine the slopes from which docs/CAPACITY.md derives the capacity. Takes about half a minute.", &slopesCommand{session: s}},
		{"demo", "Run an instance with fake services and traffic", "Runs an instance, a fake platform, engines of different speeds and a plain service in one process on loopback, and sends traffic of three tiers.", &demoCommand{session: s}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			panic("cli: command " + c.name + ": " + err.Error())
		}
	}
}

func report(err error, out, errOut io.Writer) int {
	var f *flags.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Fprintln(out, f.Message)
		return ExitDone
	case errors.As(err, &f):
		fmt.Fprintln(errOut, "tacktally:", f.Message)
		return ExitUsage
	default:
		fmt.Fprintln(errOut, "tacktally:", err)
		return ExitFailed
	}
}
