package main

import (
	"slices"
	"strings"
	"testing"
)

func TestParseNames(t *testing.T) {
	for name, c := range map[string]struct {
		list  string
		names []string
		fault string
	}{
		"none":          {"", nil, ""},
		"two":           {"TestA (go test ./a; seed 3): seen once\n\nTestB (go test ./b): always\n", []string{"TestA", "TestB"}, ""},
		"a subtest":     {"TestA/4/saying (go test ./a): once\n", []string{"TestA/4/saying"}, ""},
		"no name":       {"the soak fails now and then\n", nil, "begin each line"},
		"no command":    {"TestA: fails\n", nil, "begin each line"},
		"a whole group": {"Test.* (go test ./...): fails\n", nil, "begin each line"},
	} {
		t.Run(name, func(t *testing.T) {
			names, err := parseNames(c.list)
			if !slices.Equal(names, c.names) {
				t.Errorf("names %v, want %v", names, c.names)
			}
			if (err == nil) != (c.fault == "") || (err != nil && !strings.Contains(err.Error(), c.fault)) {
				t.Errorf("error %v, want one with %q", err, c.fault)
			}
		})
	}
}

func TestSkippedTestsAreMatchedExactly(t *testing.T) {
	got := strings.Join(arguments([]string{"TestA", "TestB/4/saying"}, []string{"-count=1"}), " ")
	if want := "test -race -timeout 30m -skip ^TestA$|^TestB$/^4$/^saying$ -count=1 ./... ./tools/..."; got != want {
		t.Errorf("%q, want %q", got, want)
	}
	if got := strings.Join(arguments(nil, nil), " "); got != "test -race -timeout 30m ./... ./tools/..." {
		t.Errorf("%q", got)
	}
}
