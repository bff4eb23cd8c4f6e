package fleet

import (
	"slices"
	"sync"
	"time"
)

// bucketOwners tracks since when this instance has been the owner or the standby of each group of buckets. It
// follows each change of the known instances rather than each request: what an instance granted before it lost a
// group says nothing of what the next owner has granted since. It is safe for concurrent use.
type bucketOwners struct {
	mu     sync.Mutex
	groups [quotaGroups]groupOwner
}

// groupOwner is the ownership of one group of buckets.
type groupOwner struct {
	owner, standby string // addresses; empty if there is none
	// ownerSince and standbySince are when this instance became what it is. It may use the standby's part since standbySince,
	// as the owner, too.
	ownerSince, standbySince time.Time
	// afterLeaving reports that the previous owner had said that it is leaving when this instance became the owner.
	afterLeaving bool
}

// roleOf returns the role of an instance.
func (g groupOwner) roleOf(address string) role {
	switch address {
	case g.owner:
		return roleOwner
	case g.standby:
		return roleStandby
	default:
		return roleOther
	}
}

// update records a change of the known instances.
func (b *bucketOwners) update(now time.Time, self string, instances []Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.groups {
		g := &b.groups[i]
		owner, standby := ownerAndStandby(bucketsKey(i), instances)
		if owner == self && g.owner != self {
			g.ownerSince, g.afterLeaving = now, isLeaving(instances, g.owner)
			if g.standbySince.IsZero() {
				g.standbySince = now
			}
		}
		if standby == self && g.standby != self {
			g.standbySince = now
		}
		g.owner, g.standby = owner, standby
	}
}

// resumed records that this instance was paused: others may have granted in its place, and may still do so.
func (b *bucketOwners) resumed(now time.Time, self string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.groups {
		g := &b.groups[i]
		if g.owner == self {
			g.ownerSince, g.afterLeaving = now, false
		}
		g.standbySince = now
	}
}

// group returns the ownership of a group.
func (b *bucketOwners) group(index int) groupOwner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.groups[index]
}

// isLeaving reports whether an instance has said that it is leaving, and so grants as the owner no more.
func isLeaving(instances []Instance, address string) bool {
	return slices.ContainsFunc(instances, func(i Instance) bool { return i.Address == address && i.Reachable && !i.MayOwn })
}
