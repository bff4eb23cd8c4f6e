package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/quarantine"
)

// HeldBack refuses a request that crashes upstreams for so long.
func HeldBack(left time.Duration) *api.Problem {
	return api.Refuse(api.ReasonCrashesUpstreams, "upstreams crashed again and again while they ran this request, so it is held back; change it, or come back after the time given").WithRetryAfter(left)
}

// probeGroups is the number of groups of requests that are held back. One instance lets tries of a
// group through.
const probeGroups = 8

// OwnsProbes tells whether this instance, of those within its reach, lets tries of a request through
// that is held back.
func (f *Fleet) OwnsProbes(k quarantine.Key) bool {
	if f.slots == nil {
		return true
	}
	group := int((k.Digest ^ xxhash.Sum64String(k.Organisation)) % probeGroups)
	owners := f.ownersOf(shardKey{service: "requests held back", index: group, settled: true})
	return len(owners) == 0 || owners[0] == f.o.Instance
}
