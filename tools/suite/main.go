// Command suite runs all tests with the race detector. It passes over the tests that
// KNOWN-RED.txt lists, prints that list at the end, and fails on anything else. Run it at
// the root of the repository; what stands behind it goes to "go test" as it is.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"strings"
)

// knownRed is the list of tests that fail for a known cause: one a line, which begins with the
// test's name, or a subtest's path.
const knownRed = "KNOWN-RED.txt"

// packages are all of both modules of the workspace.
var packages = []string{"./...", "./tools/..."}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the tests and blocks until they have ended. It fails with the first fault.
func run(more []string) error {
	list, err := os.ReadFile(knownRed)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("the list of known failures isn't readable: %w", err)
	}
	names, err := parseNames(string(list))
	if err != nil {
		return err
	}
	tests := exec.Command("go", arguments(names, more)...)
	tests.Stdout = os.Stdout
	tests.Stderr = os.Stderr
	if err := tests.Run(); err != nil {
		return fmt.Errorf("tests failed: %w", err)
	}
	if len(names) > 0 {
		fmt.Printf("known red, passed over:\n%s", list)
	}
	return nil
}

// namePattern is what a line of the list begins with.
var namePattern = regexp.MustCompile(`^(Test\w+(?:/\w+)*) \(`)

// parseNames returns the tests that a list names. A line that names none is an error: it would pass
// over nothing, or too much.
func parseNames(list string) (names []string, err error) {
	for line := range strings.Lines(list) {
		if strings.TrimSpace(line) == "" {
			continue
		}
		name := namePattern.FindStringSubmatch(line)
		if name == nil {
			return nil, fmt.Errorf("%s: begin each line with a test's name and its command in brackets, not with %.40q", knownRed, line)
		}
		names = append(names, name[1])
	}
	return names, nil
}

// skipPattern is the pattern that matches some tests, or subtests by their paths, and no others.
func skipPattern(names []string) string {
	var patterns []string
	for _, name := range names {
		path := strings.Split(name, "/")
		patterns = append(patterns, "^"+strings.Join(path, "$/^")+"$")
	}
	return strings.Join(patterns, "|")
}

// arguments of the command "go".
func arguments(passedOver, more []string) []string {
	out := []string{"test", "-race"}
	if len(passedOver) > 0 {
		out = append(out, "-skip", skipPattern(passedOver))
	}
	return append(append(out, more...), packages...)
}
