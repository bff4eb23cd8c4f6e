package soak

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A record that reports nothing proves something only if it reports each kind of violation.
func TestVersionsReportViolations(t *testing.T) {
	for name, c := range map[string]struct {
		history func(v *Versions, s *VersionedStream)
		want    string
	}{
		"two versions": {func(v *Versions, s *VersionedStream) {
			v.Add(s, VersionedEvent("s", 1, "v1"), "1")
			v.Add(s, VersionedEvent("s", 2, "v1.1"), "2")
		}, "at version v1.1"},
		"an event is missing":  {func(v *Versions, s *VersionedStream) { v.Add(s, VersionedEvent("s", 2, "v1"), "1") }, "after event 0"},
		"a part of an event":   {func(v *Versions, s *VersionedStream) { v.Add(s, "id: 1\nda", "1") }, "after event 0"},
		"event of another one": {func(v *Versions, s *VersionedStream) { v.Add(s, VersionedEvent("t", 1, "v1"), "1") }, "after event 0"},
		"resumptions go on too seldom": {func(v *Versions, _ *VersionedStream) {
			v.RecordBegun(true)
			for n := range minResumptions {
				v.RecordResumed(n < 5, true, "503")
			}
		}, "of 12 resumptions 5 went on"},
	} {
		t.Run(name, func(t *testing.T) {
			var v Versions
			c.history(&v, &VersionedStream{ID: "s"})
			is.New(t).True(strings.Contains(strings.Join(v.Check(true), "; "), c.want))
		})
	}
}

func TestStreamOfOneVersionIsNoViolation(t *testing.T) {
	is := is.New(t)
	var v Versions
	s := &VersionedStream{ID: "s"}
	v.Add(s, VersionedEvent("s", 1, "v1"), "1")
	v.Add(s, VersionedEvent("s", 2, "v1"), "2")
	v.RecordBegun(true)
	for range minResumptions {
		v.RecordResumed(false, false, "503") // no two upstreams of its version served
	}
	is.Equal(len(v.Check(true)), 0)
}
