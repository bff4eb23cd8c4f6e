// Command suite runs all tests with the race detector. It skips the tests that KNOWN-RED.txt
// lists, prints the list at the end, and fails if any other test fails. Run it at the root of
// the repository; its arguments are passed to "go test".
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

// knownRed is the file that lists the tests with known failures, one per line. A line begins with
// the name of the test or the path of the subtest.
const knownRed = "KNOWN-RED.txt"

// packageTimeout bounds the tests of one package. The package with the soak runs for several minutes.
const packageTimeout = "30m"

// packages selects all packages of both modules of the workspace.
var packages = []string{"./...", "./tools/..."}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the tests and blocks until they have ended. It returns the first error.
func run(extra []string) error {
	list, err := os.ReadFile(knownRed)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read the list of known failures: %w", err)
	}
	names, err := parseNames(string(list))
	if err != nil {
		return err
	}
	tests := exec.Command("go", arguments(names, extra)...)
	tests.Stdout = os.Stdout
	tests.Stderr = os.Stderr
	if err := tests.Run(); err != nil {
		return fmt.Errorf("tests failed: %w", err)
	}
	if len(names) > 0 {
		fmt.Printf("known failures, skipped:\n%s", list)
	}
	return nil
}

// namePattern matches the beginning of a line of the list.
var namePattern = regexp.MustCompile(`^(Test\w+(?:/\w+)*) \(`)

// parseNames returns the names of the tests in a list. A line without a name is an error, since it
// would skip nothing, or too much.
func parseNames(list string) (names []string, err error) {
	for line := range strings.Lines(list) {
		if strings.TrimSpace(line) == "" {
			continue
		}
		name := namePattern.FindStringSubmatch(line)
		if name == nil {
			return nil, fmt.Errorf("%s: begin each line with the name of a test and its command in parentheses, not with %.40q", knownRed, line)
		}
		names = append(names, name[1])
	}
	return names, nil
}

// skipPattern returns a pattern for "go test -skip" that matches exactly the given tests and subtests.
func skipPattern(names []string) string {
	var patterns []string
	for _, name := range names {
		path := strings.Split(name, "/")
		patterns = append(patterns, "^"+strings.Join(path, "$/^")+"$")
	}
	return strings.Join(patterns, "|")
}

// arguments returns the arguments of the command "go" that runs all tests but the skipped ones.
func arguments(skipped, extra []string) []string {
	out := []string{"test", "-race", "-timeout", packageTimeout}
	if len(skipped) > 0 {
		out = append(out, "-skip", skipPattern(skipped))
	}
	return append(append(out, extra...), packages...)
}
