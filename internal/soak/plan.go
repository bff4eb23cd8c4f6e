// Package soak runs real processes under random faults and checks, from what callers and
// upstreams saw, what the system promises.
//
// A Plan is drawn from a seed: faults that come in series and overlap. A World brings
// them about, by signals and by proxies between the processes. A Ledger takes what was
// seen and names each broken promise.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/wait"
)

// Fault is one kind of trouble.
type Fault string

// The faults.
const (
	// Kill ends a process at once, Terminate by the signal for a planned end; both start
	// it again afterwards.
	Kill      Fault = "kill"
	Terminate Fault = "terminate"
	// Pause stops a process and lets it go on.
	Pause Fault = "pause"
	// Reload tells a process that its settings have changed.
	Reload Fault = "reload"
	// SourceOutage takes the source away for all; SourceLink harms one process's way to it.
	SourceOutage Fault = "source_away"
	SourceLink   Fault = "source_link"
	// UpstreamLink harms the way to an upstream, PeerLink the way to a process for its
	// peers.
	UpstreamLink Fault = "upstream_link"
	PeerLink     Fault = "peer_link"
	// Replace ends an upstream and gives its address to another one.
	Replace Fault = "replace"
	// Revoke takes an organisation's keys away.
	Revoke Fault = "revoke"
	// Change publishes a new version of the configuration.
	Change Fault = "change"
	// Stuck makes the connections that are open now, to the source, to an upstream or to a
	// process for its peers, go silent for good; new ones work.
	Stuck Fault = "stuck"
	// Evacuate has operators empty an availability zone.
	Evacuate Fault = "evacuate"
	// RequestBackoff lets an upstream turn requests away and ask for rest.
	RequestBackoff Fault = "rest"
	// AnnounceLeaving lets an upstream say in its answers that it leaves, ahead of its entry; then it is
	// replaced.
	AnnounceLeaving Fault = "say_leaving"
	// AdvertiseLimit lets an upstream name a limit of requests a second in its answers, or none any more.
	AdvertiseLimit Fault = "name_limit"
	// Restore takes the source away and lets it come back from an older copy; what it has lost is written again later.
	Restore Fault = "restore"
)

// Mix is how often each fault comes, in proportion.
type Mix map[Fault]int

// AllFaultsMix is a mix of all faults.
var AllFaultsMix = Mix{
	Kill: 4, Terminate: 4, Pause: 4, Reload: 2, SourceOutage: 3, SourceLink: 3, UpstreamLink: 4, PeerLink: 4, Replace: 2, Revoke: 2, Change: 3, Stuck: 3,
}

// PlannedMix is a mix of what operators do without a fault.
var PlannedMix = Mix{Terminate: 4, Reload: 2, Change: 3}

// EvacuationMix is a mix of evacuations and of upstreams that start cold with what takes knowledge of them
// away, and PlannedEvacuationMix the same without a fault.
var (
	EvacuationMix = Mix{
		Evacuate: 4, Replace: 4, Kill: 3, Terminate: 3, Pause: 4, SourceOutage: 2, SourceLink: 3, PeerLink: 4, Change: 2, Stuck: 2,
	}
	PlannedEvacuationMix = Mix{Evacuate: 4, Replace: 4, Terminate: 3, Reload: 1, Change: 2}
)

// CrashMix is a mix, beside a request that crashes upstreams, of what takes knowledge of it away; under
// PlannedCrashMix nothing fails but what that request ends.
var (
	CrashMix = Mix{
		Kill: 3, Terminate: 4, Pause: 3, SourceOutage: 2, SourceLink: 2, PeerLink: 4, Change: 2, Replace: 2, Stuck: 2,
	}
	PlannedCrashMix = Mix{Terminate: 4, Reload: 1, Change: 2}
)

// NoticeMix is a mix of what upstreams say in their answers, while instances are replaced and the source, which
// would tell it, is away now and then.
var NoticeMix = Mix{RequestBackoff: 6, AnnounceLeaving: 5, Terminate: 3, Reload: 1, Change: 2, SourceOutage: 3}

// LimitMix is a mix of limits that upstreams name, while whoever keeps them is killed, paused, cut off or replaced.
var LimitMix = Mix{AdvertiseLimit: 8, Kill: 2, Terminate: 3, Pause: 4, PeerLink: 4, Replace: 2, Stuck: 2, Change: 1}

// RestoreMix is a mix of returns of the source from older copies, while what it publishes changes and whoever reads it
// is killed, paused, cut off or started.
var RestoreMix = Mix{
	Restore: 6, Change: 4, Revoke: 3, Replace: 3, Evacuate: 2, Kill: 2, Terminate: 2, Pause: 3, SourceLink: 3, SourceOutage: 2, PeerLink: 3, Stuck: 2,
}

// Event is one fault at a time.
type Event struct {
	At  time.Duration
	For time.Duration
	Fault
	// Target numbers what is hit, Mode how a link is harmed or a source is away; both
	// are to be taken modulo the number that there is.
	Target int
	Mode   int
}

// String words an event, for logs.
func (e Event) String() string {
	return fmt.Sprintf("%v for %v: %s target %d mode %d", e.At.Round(time.Millisecond), e.For.Round(time.Millisecond), e.Fault, e.Target, e.Mode)
}

const (
	// meanPause is the mean time between two events, or the first events of two series.
	meanPause = 500 * time.Millisecond
	// seriesShare is the part of the events that come as a series, and seriesPause the
	// longest time between two of it.
	seriesShare = 0.3
	seriesPause = 80 * time.Millisecond
	mostOfOne   = 4
	// shortest and longest bound how long a fault lasts.
	shortest = 50 * time.Millisecond
	longest  = 2500 * time.Millisecond
	// targets is the range of Target and Mode.
	targets = 1 << 10
)

// NewPlan draws the events of a seed from a mix, in the order of their times.
func NewPlan(seed uint64, length time.Duration, mix Mix) []Event {
	r := rand.New(rand.NewPCG(seed, seed))
	var out []Event
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanPause)) {
		e := Event{Fault: mix.draw(r)}
		n := 1
		if r.Float64() < seriesShare {
			n = 2 + r.IntN(mostOfOne-1)
		}
		for start := at; n > 0; n-- {
			e.At, e.Target, e.Mode = start, r.IntN(targets), r.IntN(targets)
			e.For = shortest + time.Duration(r.Int64N(int64(longest-shortest)))
			out = append(out, e)
			start += time.Duration(r.Int64N(int64(seriesPause)))
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

func (m Mix) draw(r *rand.Rand) Fault {
	names := make([]Fault, 0, len(m))
	total := 0
	for f, weight := range m {
		names = append(names, f)
		total += weight
	}
	slices.Sort(names)
	at := r.IntN(total)
	for _, f := range names {
		if at -= m[f]; at < 0 {
			return f
		}
	}
	return names[0]
}

// Injector brings faults about. Apply must not block for long; undo ends the fault, and is
// nil where it ends by itself.
type Injector interface {
	Apply(e Event) (undo func())
}

// Run brings the events about until all of them are over or ctx ends.
func Run(ctx context.Context, w Injector, events []Event) {
	started := time.Now()
	var under sync.WaitGroup
	for _, e := range events {
		if !wait.For(ctx, e.At-time.Since(started)) {
			break
		}
		undo := w.Apply(e)
		if undo == nil {
			continue
		}
		under.Go(func() {
			wait.For(ctx, e.For)
			undo()
		})
	}
	under.Wait()
}
