package faults

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/standin/engine"
)

// A prompt that one instance sent to an engine is sent to the same engine by the other instance, which
// knows the cached prefix only from the engine's cache events.
func TestPromptGoesToEngineThatCachesIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	second := engine.NewServer(engine.Spec{PrefillPerSecond: 1e6, Slots: 64, ChunkTokens: 4096, CacheBlocks: 64})
	t.Cleanup(second.Close)
	f.list = append(f.list, platform.Instance{Address: f.serve(f.ip(200)+":9002", second), Zone: "fort", Set: readerEngines, State: platform.Live})
	list := func(version int64) {
		f.platform.SetInstances(f.list)
		for _, p := range f.daemons {
			f.eventually("the list is in use", func() bool { return p.status().ListVersion == version })
		}
	}
	first := f.ip(100) + ":9002"
	f.markLeaving(first) // version 2: the prompt goes to the second engine
	list(3)
	dossier := strings.Repeat("a worn leather bag, ", 200)
	is.Equal(f.daemons[0].send(call{path: chatPath, body: prompt(dossier, true)}).outcome, api.Answered)
	f.list[2].State = platform.Live
	is.Equal(f.list[2].Address, first)
	list(4)
	for _, p := range f.daemons {
		f.eventually("the cache events have arrived", func() bool { return p.metric("tacktally_cache_events_total") > 0 })
		for range 5 {
			is.Equal(p.send(call{path: chatPath, body: prompt(dossier+"who found it?", true)}).outcome, api.Answered)
		}
	}
	is.Equal(len(second.Runs()), 11)
}
