// Command tacktally is the operators' command line.
//
// Exit codes: 0 success, 1 the call failed or a document was rejected, 2 the
// arguments are invalid.
package main

import (
	"os"

	"github.com/tacktally/tacktally/internal/cli"
	"github.com/tacktally/tacktally/platform"
	"github.com/tacktally/tacktally/platform/demo"
)

func main() {
	functions := cli.Platform{Decode: (&platform.Source{}).Decode, Demo: demo.Run} // Decode needs no connection
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, functions))
}
