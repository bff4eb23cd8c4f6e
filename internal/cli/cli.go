// Package cli is the operators' command line on the resource API.
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

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// globalOptions are the options of every command.
type globalOptions struct {
	Address   string `short:"a" long:"address" value-name:"URL" default:"http://127.0.0.1:8081" env:"TACKTALLY_ADDRESS" description:"Operators' address of any instance"`
	TokenFile string `long:"token-file" value-name:"FILE" env:"TACKTALLY_TOKEN_FILE" description:"File with the operators' token"`
	Output    string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"Form of the output"`
	Version   func() `long:"version" description:"Print the version and exit"`
}

// DecodeRouted turns a routed configuration, in the form in which operators publish it, into a
// document.
type DecodeRouted func(content []byte) (*routing.Document, error)

// Platform is what the command line can do with the users' platform.
type Platform struct {
	// Decode turns a routed configuration into a document.
	Decode DecodeRouted
	// Demo runs an instance for routed requests with stand-ins until ctx ends.
	Demo func(ctx context.Context, out io.Writer) error
}

// session is what a command runs with.
type session struct {
	*globalOptions
	ctx      context.Context
	out      io.Writer
	platform Platform
}

// Run runs a command line and returns the exit code.
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
	p.LongDescription = "Reads, watches, explains and checks the resources that instances of tacktally serve under. " +
		"Configuration itself is published at the platform's configuration service. " +
		"Exit codes: 0 done, 1 the call failed or a document was rejected, 2 the arguments are wrong."
	addCommands(p, s)
	_, err := p.ParseArgs(args)
	return report(err, out, errOut)
}

func addCommands(p *flags.Parser, s *session) {
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"get", "List resources with their status", "Lists the resources of a kind (Organisation, Tier, EngineSet, Service), or shows one.", &getCommand{session: s}},
		{"watch", "Follow changes to resources", "Prints each change as it comes into force at the instance asked.", &watchCommand{session: s}},
		{"validate", "Check a document without publishing it", "Says what every instance would say to a document, with all faults and their remedies. With --routed it asks no instance.", &validateCommand{session: s}},
		{"explain", "Tell how a request would be served now", "Tells how a request would be served now at the instance asked.", &explainCommand{session: s}},
		{"status", "Show an instance and its peers", "Shows the instance asked: its revision, peers, keys and whether it drains.", &statusCommand{session: s}},
		{"drain", "Begin a graceful shutdown", "Makes the instance asked refuse new work, finish what is in flight, and end.", &drainCommand{session: s}},
		{"hash-key", "Print the hash of an API key", "Reads an API key from standard input and prints its hash for an organisation's apiKeyHashes.", &hashKeyCommand{session: s}},
		{"trace", "Tell a request's story from logs", "Prints what the logs of instances tell of a request, and what may have decided how it ended.", &traceCommand{session: s}},
		{"outcomes", "Count from logs how requests ended", "Counts from the logs of instances how requests ended over time, by reason, route, organisation, service or instance, as a table and a plot.", &outcomesCommand{session: s}},
		{"places", "Show evacuated zones and cold upstreams", "Shows what instances that serve routed requests know of evacuated availability zones and of cold upstreams, and how many requests they have in each zone. A zone is empty once all instances have none there.", &placesCommand{session: s}},
		{"experiment", "Measure the scheduling policy", "Runs the scheduling policy and the baselines side by side in virtual time and prints goodput by tier and wasted prefill.", &experimentCommand{session: s}},
		{"slopes", "Measure how costs grow with sizes", "Measures the slopes that docs/CAPACITY.md is worked out from, on this machine; takes about half a minute.", &slopesCommand{session: s}},
		{"demo", "Run a daemon with stand-ins and traffic", "Runs a daemon, a stand-in platform, unlike engines and a plain service in one process on loopback, and sends traffic of three tiers.", &demoCommand{session: s}},
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
