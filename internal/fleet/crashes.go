package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/quarantine"
)

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
	owners := f.ownersOf(shardKey{service: "requests held back", index: group, settledOnly: true})
	return len(owners) == 0 || owners[0] == f.o.Instance
}
