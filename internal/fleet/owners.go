package fleet

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shardSize is the number of upstreams up to which a service has one shard: what
	// one instance schedules without becoming the bottleneck. With more there are as
	// many shards as keep each below it.
	shardSize = 128
	// maxOwners is how many instances are asked for a slot in turn, before this one
	// decides by itself.
	maxOwners = 2
	// ackTimeout is how long an owner may take to say that it has a request. Its
	// processor may be held back for a tenth of a second.
	ackTimeout = 150 * time.Millisecond
	// unresponsiveFor is how long an owner that said nothing isn't asked again.
	unresponsiveFor = time.Second
	// coresExponent makes large instances own more than their part: one with twice the
	// processor time sixteen times as often. On loaded days an owner spent 0.06 cores
	// where others spent 0.02, and the smallest instances have 0.19.
	coresExponent = 4
	// assumedCores is counted for an instance that doesn't say.
	assumedCores = 1
)

// owners says which instance schedules a shard. Each instance works it out by itself from
// the instances within its reach (weighted rendezvous hashing), so nothing is agreed on:
// while views differ, a shard has two owners, and its upstreams get more than they have
// slots for, which they queue. Safe for concurrent use.
type owners struct {
	mu           sync.Mutex
	ranked       map[shardKey][]string // addresses, the owner first
	unresponsive map[string]time.Time  // when they were found to be
	lastOwner    map[shardKey]string   // as logged last
}

// shardKey names a shard, or a bucket of tokens.
type shardKey struct {
	service string
	index   int
	// settledOnly: only instances that have settledOnly may own it.
	settledOnly bool
}

// invalidate drops the ranking after a change of instances.
func (o *owners) invalidate() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ranked = nil
}

// markUnresponsive notes that an instance said nothing when it was asked.
func (o *owners) markUnresponsive(address string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unresponsive == nil {
		o.unresponsive = map[string]time.Time{}
	}
	o.unresponsive[address] = now
}

// isCandidate tells whether an instance is one of the isCandidate that others ask for a slot of a shard.
func (o *owners) isCandidate(k shardKey, instances []Instance, address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	ranked := o.ranking(k, instances)
	return slices.Contains(ranked[:min(maxOwners, len(ranked))], address)
}

// ranking returns the instances that may own a shard, in order. The caller holds the lock.
func (o *owners) ranking(k shardKey, instances []Instance) []string {
	ranked, known := o.ranked[k]
	if !known {
		ranked = rank(k, instances)
		if o.ranked == nil {
			o.ranked = map[shardKey][]string{}
		}
		o.ranked[k] = ranked
	}
	return ranked
}

// candidates returns the instances to ask for a slot candidates a shard, in order.
func (o *owners) candidates(k shardKey, instances []Instance, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, address := range o.ranking(k, instances) {
		since, silent := o.unresponsive[address]
		if silent && now.Sub(since) < unresponsiveFor {
			continue
		}
		if out = append(out, address); len(out) == maxOwners {
			break
		}
	}
	return out
}

// recordOwner tells whether the owner of a shard isn't the one that it was.
func (o *owners) recordOwner(k shardKey, owner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastOwner[k] == owner {
		return false
	}
	if o.lastOwner == nil {
		o.lastOwner = map[shardKey]string{}
	}
	o.lastOwner[k] = owner
	return true
}

// rank orders the instances that may own a shard. Those with more processor time come
// first far more often.
func rank(k shardKey, instances []Instance) []string {
	type scored struct {
		address string
		score   float64
	}
	var list []scored
	for _, i := range instances {
		if !i.MayOwn || (k.settledOnly && !i.Settled) {
			continue
		}
		draw := uniform(k.service + "\x00" + strconv.Itoa(k.index) + "\x00" + i.Address)
		list = append(list, scored{i.Address, -math.Pow(cmp.Or(i.Cores, assumedCores), coresExponent) / math.Log(draw)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.address
	}
	return out
}

// uniform maps a text to (0, 1).
func uniform(text string) float64 {
	const bits = 53 // of a float's fraction
	return (float64(xxhash.Sum64String(text)>>(64-bits)) + 0.5) / (1 << bits)
}

// shardCount is the number of shards of so many upstreams.
func shardCount(upstreams int) int { return max((upstreams+shardSize-1)/shardSize, 1) }

// shardFor returns the shard of an upstream, by rendezvous hashing: one shard more takes
// its part of the others and moves nothing else.
func shardFor(id string, shards int) int {
	drawn := xxhash.Sum64String(id)
	best, highest := 0, uint64(0)
	for i := range shards {
		if h := mix(drawn ^ mix(uint64(i)+1)); h > highest {
			best, highest = i, h
		}
	}
	return best
}

// mix spreads a number over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
