package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tacktally/tacktally/internal/quarantine"
)

// probeGroups is the number of groups that quarantined requests are divided into. One instance lets the
// probes of a group through.
const probeGroups = 8

// OwnsProbes reports whether this instance, among the reachable ones, is the one that lets probes of a
// quarantined request through.
func (f *Fleet) OwnsProbes(k quarantine.Key) bool {
	if f.slots == nil {
		return true
	}
	group := int((k.Digest ^ xxhash.Sum64String(k.Organisation)) % probeGroups)
	owners := f.ownerAndStandbyOf(shardKey{service: "requests held back", index: group, settledOnly: true})
	return len(owners) == 0 || owners[0] == f.o.Instance
}
