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
	// shardSize is the maximum number of upstreams of one shard: what one instance can schedule without
	// becoming the bottleneck. A service with more upstreams gets as many shards as needed.
	shardSize = 128
	// maxOwners is how many instances a slot is requested from, one after the other, before this instance
	// decides on its own.
	maxOwners = 2
	// ackTimeout is how long an owner may take to acknowledge a request. Its processor may be throttled
	// for 100 ms.
	ackTimeout = 150 * time.Millisecond
	// saturatedAckTimeout is the same while this process lacks processor time: a reply may have arrived and wait to
	// be read, for several periods of a processor quota.
	saturatedAckTimeout = 3 * ackTimeout
	// unresponsiveFor is how long an owner that didn't reply gets no further requests.
	unresponsiveFor = time.Second
	// coresExponent gives large instances a more than proportional share of ownership: one with twice the
	// processor time owns 16 times as many shards. Under high load an owner spends 0.06 cores where
	// others spend 0.02, and the smallest instances have 0.19.
	coresExponent = 4
	// assumedCores is the processor time assumed for an instance that doesn't report it.
	assumedCores = 1
)

// owners determines which instance schedules a shard. Each instance computes it on its own from the
// reachable instances (weighted rendezvous hashing), without any agreement: while views differ, a shard
// has two owners, and its upstreams get more requests than they have slots for, which they queue. What an
// instance may grant of a bound that all instances keep together depends on its role. It is safe for
// concurrent use.
type owners struct {
	mu sync.Mutex
	// current are the instances that the cached rankings are of.
	current      []Instance
	ranked       map[shardKey][]string // addresses, the owner first
	unresponsive map[string]time.Time  // since when, by address
	lastOwner    map[shardKey]string   // as last logged
	keepers      map[int][]zoneKeepers // of origins of streams, by group
}

// shardKey identifies a shard, or a group of token buckets or quarantined requests.
type shardKey struct {
	service string
	index   int
	// settledOnly restricts ownership to settled instances.
	settledOnly bool
}

// setInstances drops the cached rankings after a change of the instances.
func (o *owners) setInstances(instances []Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current, o.ranked, o.keepers = instances, nil, nil
}

// areCurrent reports whether rankings of the instances are cached: not those that a caller has read before a change. The
// caller holds the lock.
func (o *owners) areCurrent(instances []Instance) bool {
	return len(instances) > 0 && len(instances) == len(o.current) && &instances[0] == &o.current[0]
}

// markUnresponsive records that an instance didn't reply to a request.
func (o *owners) markUnresponsive(address string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unresponsive == nil {
		o.unresponsive = map[string]time.Time{}
	}
	o.unresponsive[address] = now
}

// ranking returns the instances that may own a shard, the first owner first. The caller holds the lock.
func (o *owners) ranking(k shardKey, instances []Instance) []string {
	if !o.areCurrent(instances) {
		return rank(k, instances)
	}
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

// firstCandidates returns the first maxOwners of the ranking, in order, whether or not they have replied lately.
func (o *owners) firstCandidates(k shardKey, instances []Instance) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ranked := o.ranking(k, instances)
	return ranked[:min(maxOwners, len(ranked))]
}

// isUnresponsive reports whether an instance didn't reply to a request within unresponsiveFor.
func (o *owners) isUnresponsive(address string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.passesOver(address, now)
}

// passesOver is isUnresponsive for callers that hold the lock.
func (o *owners) passesOver(address string, now time.Time) bool {
	since, silent := o.unresponsive[address]
	return silent && now.Sub(since) < unresponsiveFor
}

// markResponsive records that an instance has replied, however late.
func (o *owners) markResponsive(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.unresponsive, address)
}

// roleOf returns the role of an instance at a shard.
func (o *owners) roleOf(k shardKey, instances []Instance, address string) role {
	o.mu.Lock()
	defer o.mu.Unlock()
	return roleAt(slices.Index(o.ranking(k, instances), address))
}

// candidates returns the instances to request a slot of a shard from, in order.
func (o *owners) candidates(k shardKey, instances []Instance, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, address := range o.ranking(k, instances) {
		if o.passesOver(address, now) {
			continue
		}
		if out = append(out, address); len(out) == maxOwners {
			break
		}
	}
	return out
}

// recordOwner records the owner of a shard and reports whether it has changed.
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

// scoredInstance is an instance with its weighted draw for a shard; the highest one owns the shard.
type scoredInstance struct {
	address string
	score   float64
}

func compareScores(a, b scoredInstance) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
}

// scored returns the instances that may own a shard, weighted by processor time, see coresExponent. While all
// reachable instances are leaving, those may own it: otherwise each would decide alone.
func scored(k shardKey, instances []Instance) []scoredInstance {
	mayOwn := func(i Instance) bool { return i.MayOwn }
	if !slices.ContainsFunc(instances, func(i Instance) bool { return i.MayOwn && (i.Settled || !k.settledOnly) }) {
		mayOwn = func(i Instance) bool { return i.Reachable }
	}
	var list []scoredInstance
	for _, i := range instances {
		if !mayOwn(i) || (k.settledOnly && !i.Settled) {
			continue
		}
		draw := uniform(k.service + "\x00" + strconv.Itoa(k.index) + "\x00" + i.Address)
		list = append(list, scoredInstance{i.Address, -math.Pow(cmp.Or(i.Cores, assumedCores), coresExponent) / math.Log(draw)})
	}
	return list
}

// rank orders the instances that may own a shard, the owner first.
func rank(k shardKey, instances []Instance) []string {
	list := scored(k, instances)
	slices.SortFunc(list, compareScores)
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.address
	}
	return out
}

// ownerAndStandby returns the first two of the ranking; empty where there are fewer.
func ownerAndStandby(k shardKey, instances []Instance) (owner, standby string) {
	var first, second scoredInstance
	for _, s := range scored(k, instances) {
		switch {
		case first.address == "" || compareScores(s, first) < 0:
			first, second = s, first
		case second.address == "" || compareScores(s, second) < 0:
			second = s
		}
	}
	return first.address, second.address
}

// uniform hashes a string to (0, 1).
func uniform(text string) float64 {
	const bits = 53 // of a float's fraction
	return (float64(xxhash.Sum64String(text)>>(64-bits)) + 0.5) / (1 << bits)
}

// shardCount returns the number of shards for the given number of upstreams.
func shardCount(upstreams int) int { return max((upstreams+shardSize-1)/shardSize, 1) }

// shardFor returns the shard of an upstream, by rendezvous hashing: an additional shard takes its share
// of the upstreams from the others and moves nothing else.
func shardFor(id string, shards int) int {
	hash := xxhash.Sum64String(id)
	best, highest := 0, uint64(0)
	for i := range shards {
		if h := mix(hash ^ mix(uint64(i)+1)); h > highest {
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
