// Command rig2 plays one case of the second review: it starts daemons, a store and workers on loopback, sends requests
// and judges what clients and workers have seen.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns how often its rule was broken.
var cases = map[string]func(r *record, trouble bool) (breaks int, err error){
	"late-refusal":  lateRefusal,
	"plain-refusal": plainRefusal,
	"spot":          spot,
	"rebirth":       rebirth,
}

func main() { os.Exit(play()) }

// engineCommand is the argument that makes this program a model worker.
const engineCommand = "engine"

func play() int {
	if len(os.Args) == 4 && os.Args[1] == engineCommand {
		return serveEngine(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return failed
	}
	endOnSignal()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return failed
	}
	defer r.close()
	breaks, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rig2:", err)
		r.add("the case could not run: %v", err)
		return failed
	case breaks > 0:
		fmt.Println("the rule was broken", breaks, "times")
		r.add("the rule was broken %d times", breaks)
		return broken
	default:
		fmt.Println("the rule held")
		r.add("the rule held")
		return held
	}
}
