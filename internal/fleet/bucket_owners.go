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
	// ownerSince and standbySince are when this instance became what it is.
	ownerSince, standbySince time.Time
	// predecessor is what is known of the previous owner where this instance became the owner.
	predecessor predecessor
}

// predecessor is what an instance that becomes the owner of a group knows of the previous owner.
type predecessor uint8

const (
	// predecessorUnknown: there was none, or it goes on and must have learnt of its successor to lease the group.
	predecessorUnknown predecessor = iota
	// predecessorLeaving: it has said that it is leaving, and grants as the owner no more.
	predecessorLeaving
	// predecessorSilent: it has become unreachable, or this instance was paused. It may have granted a burst.
	predecessorSilent
)

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
			g.ownerSince, g.predecessor = now, predecessorOf(instances, g.owner)
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
			g.ownerSince, g.predecessor = now, predecessorSilent
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

// predecessorOf returns what the known instances say of the previous owner.
func predecessorOf(instances []Instance, address string) predecessor {
	at := slices.IndexFunc(instances, func(i Instance) bool { return i.Address == address })
	switch {
	case address == "":
		return predecessorUnknown
	case at < 0 || !instances[at].Reachable:
		return predecessorSilent
	case !instances[at].MayOwn:
		return predecessorLeaving
	default:
		return predecessorUnknown
	}
}
