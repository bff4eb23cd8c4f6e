package config

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func example(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile("../../examples/document.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestAcceptExample(t *testing.T) {
	is := is.New(t)
	s, err := Accept(7, []byte(example(t)), nil)
	is.NoErr(err)
	is.Equal(s.Revision, int64(7))
	org, ok := s.OrganisationByAPIKey("foo")
	is.True(ok)
	is.Equal(org.DefaultTier.Name, "desk")
	_, ok = s.OrganisationByAPIKey("other")
	is.True(!ok)
	svc, _ := s.Service("bookings")
	is.True(svc.NonIdempotent("POST", "/confirm/7"))
	is.True(!svc.NonIdempotent("GET", "/confirm"))
}

// Each fault is reported with its path and a remedy.
func TestAcceptReportsFaultsWithPathAndRemedy(t *testing.T) {
	for _, c := range []struct{ name, old, new, path, remedy string }{
		{"unknown field", `"rank": 0`, `"rnak": 0`, "/tiers/0/spec/rnak", "remove it or correct its name"},
		{"wrong type", `"timeoutMillis": 10000`, `"timeoutMillis": "10s"`, "/tiers/0/spec/timeoutMillis", "a string where a whole number is expected"},
		{"duplicate field", `"rank": 0`, `"rank": 0, "rank": 1`, "/tiers/0/spec", "correct the syntax"},
		{"an object for an array", "\"tiers\": [\n    {\"metadata\": {\"name\": \"live\"}", `"tiers": {"a": 1}, "x": [{"metadata": {"name": "live"}`, "/tiers", "an object where an array is expected"},
		{"not JSON", `"share": 2,`, `"share": ,`, "/organisations/0/spec/share", "correct the syntax"},
		{"wrong unit", `"timeoutMillis": 10000`, `"timeoutMillis": 10000000000`, "/tiers/0/spec/timeoutMillis", "1 to 3600000 milliseconds"},
		{"missing tier", `"tiers": ["desk"`, `"tiers": ["dsek"`, "/organisations/0/spec/tiers/0", "declare it under /tiers"},
		{"same rank", `"rank": 1`, `"rank": 0`, "/tiers/1/spec/rank", "its own rank"},
		{"duplicate name", `"name": "tagging"`, `"name": "desk"`, "/tiers/2/metadata/name", "remove or rename one"},
		{"bad name", `"name": "bookings"`, `"name": "Bookings!"`, "/services/0/metadata/name", "use 1 to 63"},
		{"key in plain text", `"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"`, `"foo"`, "/organisations/0/spec/apiKeyHashes/0", "hash-key"},
		{"bad call", `"POST /confirm"`, `"confirm"`, "/services/0/spec/nonIdempotent/0", "write a method"},
		{"negative share", `"share": 2`, `"share": -2`, "/organisations/0/spec/share", "above 0"},
		{"unknown role", `"checksFencing": true`, `"role": "both"`, "/engineSets/0/spec/role", "or leave it out"},
		{"no output", `"maxOutputTokens": 1024`, `"maxOutputTokens": 0`, "/engineSets/0/spec/maxOutputTokens", "tokens"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := example(t)
			is.True(strings.Contains(text, c.old))
			_, err := Accept(1, []byte(strings.Replace(text, c.old, c.new, 1)), nil)
			var r *RejectedError
			is.True(errors.As(err, &r))
			is.True(strings.HasPrefix(r.Faults[0].Path, c.path))
			is.True(strings.Contains(r.Faults[0].Message, c.remedy))
			_, again := Accept(1, []byte(strings.Replace(text, c.old, c.new, 1)), nil)
			is.Equal(err.Error(), again.Error()) // it depends on the content alone
		})
	}
}

func TestAcceptRejectsTooLargeDocument(t *testing.T) {
	is := is.New(t)
	_, err := Accept(1, make([]byte, MaxDocumentBytes+1), nil)
	is.True(strings.Contains(err.Error(), "publish at most"))
}

func TestHolderKeepsHighestAcceptedRevision(t *testing.T) {
	one := []byte(example(t))
	two := []byte(strings.Replace(example(t), `"share": 2`, `"share": 3`, 1))
	bad := []byte(`{}`)
	type offer struct {
		revision int64
		content  []byte
		accepted bool
		err      error
		current  int64
	}
	for _, c := range []struct {
		name   string
		offers []offer
	}{
		{"a higher revision replaces the current one", []offer{{1, one, true, nil, 1}, {3, two, true, nil, 3}}},
		{"a lower revision is ignored", []offer{{3, one, true, nil, 3}, {2, two, false, ErrOlderRevision, 3}}},
		{"the same value changes nothing", []offer{{3, one, true, nil, 3}, {3, one, false, nil, 3}}},
		{"other content of the same revision is rejected", []offer{{3, one, true, nil, 3}, {3, two, false, ErrConflict, 3}}},
		{"a rejected value leaves the current one in force", []offer{{3, one, true, nil, 3}, {4, bad, false, &RejectedError{}, 3}, {5, two, true, nil, 5}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHolder()
			for _, o := range c.offers {
				accepted, err := h.Offer(time.Now(), o.revision, o.content, nil)
				is.Equal(accepted, o.accepted)
				var r *RejectedError
				if errors.As(o.err, &r) {
					is.True(errors.As(err, &r))
				} else {
					is.True(errors.Is(err, o.err))
				}
				is.Equal(h.Revision(), o.current)
			}
		})
	}
}
