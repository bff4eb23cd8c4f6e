package origin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func originOf(request uint64, version string, keep time.Duration) Origin {
	return Origin{Request: request, Service: "s", Version: version, Until: start.Add(keep)}
}

func TestOriginsExpire(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Record(start, originOf(1, "v1", time.Second), false)
	found, known := r.Find(start, 1)
	is.True(known)
	is.Equal(found.Version, "v1")
	is.Equal(found.Service, "s")
	_, known = r.Find(start.Add(time.Second), 1)
	is.True(!known)
	is.Equal(len(r.Shared(start.Add(time.Second), map[string]bool{"s": true})), 0)
}

// The first version that began a stream stays its origin, also if the stream is resumed for longer.
func TestFirstOriginStays(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Record(start, originOf(1, "v1", time.Second), false)
	r.Record(start, originOf(1, "v2", time.Minute), true)
	found, known := r.Find(start.Add(30*time.Second), 1)
	is.True(known)
	is.Equal(found.Version, "v1")
	is.Equal(len(r.TakeUnshared(start, "s")), 0)
}

func TestUnsharedOriginsAreTakenOnce(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Record(start, originOf(1, "v1", time.Second), false)
	r.Record(start, originOf(2, "v1", time.Second), true)
	is.Equal(len(r.TakeUnshared(start, "other")), 0)
	is.Equal(r.TakeUnshared(start, "s"), []Origin{originOf(1, "v1", time.Second)})
	is.Equal(len(r.TakeUnshared(start, "s")), 0)
	is.Equal(len(r.Shared(start, nil)), 2)
}

// Without bound, an instance that serves for long would run out of memory.
func TestRegistryIsBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	for n := range uint64(10_000) { // 100 a second
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		r.Record(now, Origin{Request: n + 1, Service: "s", Until: now.Add(time.Second)}, false)
	}
	is.True(r.Len() <= minPrune)
	for n := range uint64(2 * MaxEntries) {
		r.Record(start, originOf(n+1, "v1", time.Hour), false)
	}
	is.True(r.Len() <= MaxEntries)
}
