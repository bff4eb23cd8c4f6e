// Package soak runs real processes under random faults and checks the guarantees of the system from
// what callers and upstreams saw.
//
// NewPlan draws a list of events from a seed: faults that come in bursts and overlap. An Injector
// applies them, by signals and by proxies between the processes. A Ledger records the requests and
// responses and reports each violated guarantee.
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

// Fault is a kind of fault.
type Fault string

// The faults.
const (
	// Kill ends a process at once, Terminate by the signal for a planned end. Both restart it
	// afterwards.
	Kill      Fault = "kill"
	Terminate Fault = "terminate"
	// Pause stops a process and resumes it later.
	Pause Fault = "pause"
	// Reload signals a process that its settings have changed.
	Reload Fault = "reload"
	// SourceOutage makes the source unavailable to all instances, SourceLink disturbs the network
	// path from one process to it.
	SourceOutage Fault = "source_away"
	SourceLink   Fault = "source_link"
	// UpstreamLink disturbs the network path to an upstream, PeerLink the path from the peers of a
	// process to it.
	UpstreamLink Fault = "upstream_link"
	PeerLink     Fault = "peer_link"
	// Hold makes the paths from the peers of one, some or all processes to them forward nothing for a while.
	Hold Fault = "hold"
	// Replace ends an upstream and gives its address to another one.
	Replace Fault = "replace"
	// Revoke revokes an organisation's API keys.
	Revoke Fault = "revoke"
	// Change publishes a new version of the configuration.
	Change Fault = "change"
	// Stuck makes the connections that are open now, to the source, to an upstream or from the peers
	// of a process, forward nothing for the rest of their life. New connections work.
	Stuck Fault = "stuck"
	// Evacuate evacuates an availability zone, as operators do.
	Evacuate Fault = "evacuate"
	// RequestBackoff makes an upstream refuse requests and request a backoff.
	RequestBackoff Fault = "rest"
	// AnnounceLeaving makes an upstream announce in its responses that it leaves, before its entry
	// says so. It is then replaced.
	AnnounceLeaving Fault = "say_leaving"
	// AdvertiseLimit makes an upstream advertise a limit of requests per second in its responses, or
	// withdraw it.
	AdvertiseLimit Fault = "name_limit"
	// Partition cuts instances off from all upstreams, while callers, peers and the source reach them.
	Partition Fault = "partition"
	// Restore makes the source unavailable and restores it from an older copy. What it lost is written
	// again later.
	Restore Fault = "restore"
	// Release starts upstreams of another version, after which those of the former ones may leave. KillSeveral kills all
	// instances, all but one, or those of a zone at once, RestartAll terminates all of them, a few at a time.
	Release     Fault = "release"
	KillSeveral Fault = "kill_several"
	RestartAll  Fault = "restart_all"
)

// Mix holds the relative frequency of each fault.
type Mix map[Fault]int

// GeneralMix is a mix of all faults except evacuations, restores, and notices and limits of upstreams.
var GeneralMix = Mix{
	Kill: 4, Terminate: 4, Pause: 4, Reload: 2, SourceOutage: 3, SourceLink: 3, UpstreamLink: 4, PeerLink: 4, Replace: 2, Revoke: 2, Change: 3, Stuck: 3,
}

// PlannedMix is a mix of the planned work of operators, without a fault.
var PlannedMix = Mix{Terminate: 4, Reload: 2, Change: 3}

// StoppingMix is a mix of planned stops, reloads and new configurations, without a fault.
var StoppingMix = Mix{Terminate: 5, Reload: 4, Change: 3}

// EvacuationMix is a mix of evacuations and of cold starts of upstreams, together with faults in which
// instances lose what they know of them. PlannedEvacuationMix is the same without a fault.
var (
	EvacuationMix = Mix{
		Evacuate: 4, Replace: 4, Kill: 3, Terminate: 3, Pause: 4, SourceOutage: 2, SourceLink: 3, PeerLink: 4, Change: 2, Stuck: 2,
	}
	PlannedEvacuationMix = Mix{Evacuate: 4, Replace: 4, Terminate: 3, Reload: 1, Change: 2}
)

// CrashMix accompanies a request that crashes upstreams, with faults in which instances lose what they
// know of its crashes. With PlannedCrashMix nothing fails except the upstreams that the request
// crashes.
var (
	CrashMix = Mix{
		Kill: 3, Terminate: 4, Pause: 3, SourceOutage: 2, SourceLink: 2, PeerLink: 4, Change: 2, Replace: 2, Stuck: 2,
	}
	PlannedCrashMix = Mix{Terminate: 4, Reload: 1, Change: 2}
)

// NoticeMix is a mix of notices that upstreams send in their responses, while instances are replaced
// and the source, which would publish the same, is unavailable now and then.
var NoticeMix = Mix{RequestBackoff: 6, AnnounceLeaving: 5, Terminate: 3, Reload: 1, Change: 2, SourceOutage: 3}

// LimitMix is a mix of limits that upstreams advertise, while the instances that enforce them are
// killed, paused, partitioned or replaced.
var LimitMix = Mix{AdvertiseLimit: 8, Kill: 2, Terminate: 3, Pause: 4, PeerLink: 4, Replace: 2, Stuck: 2, Change: 1}

// PartitionMix is a mix of partitions of instances from all upstreams, while instances are killed,
// replaced, paused and disconnected, and upstreams are replaced and their zones evacuated.
var PartitionMix = Mix{Partition: 3, Kill: 2, Terminate: 2, Pause: 2, PeerLink: 1, Reload: 1, Replace: 2, Evacuate: 1, Change: 2}

// PartitionedZonesMix is PartitionMix without evacuations.
var PartitionedZonesMix = Mix{Partition: 4, Kill: 2, Terminate: 2, Pause: 2, PeerLink: 1, Reload: 1, Replace: 1, Change: 1}

// UnstatedEndMix is a mix of crashes of upstreams whose responses state no end, and of the instances, links and
// relaying peers that such a response passes.
var UnstatedEndMix = Mix{Replace: 6, UpstreamLink: 3, Partition: 2, Kill: 4, Terminate: 2, Pause: 2, PeerLink: 1, Reload: 1, Change: 1}

// InvalidResponseMix is a mix of lost, replaced, paused and disconnected instances while upstreams send invalid responses.
var InvalidResponseMix = Mix{Kill: 3, Terminate: 3, Reload: 2, Pause: 2, Replace: 2, PeerLink: 2, SourceOutage: 1, Change: 3}

// VersionMix is a mix of upstreams of several versions that come and go, while the instances that know which one
// began a stream are killed, terminated, paused and disconnected. With PlannedVersionMix instances stay in
// touch.
var (
	VersionMix        = Mix{Replace: 6, UpstreamLink: 3, Kill: 4, Terminate: 3, Pause: 2, PeerLink: 3, Evacuate: 1, SourceOutage: 1, SourceLink: 1, Change: 1}
	PlannedVersionMix = Mix{Replace: 5, Terminate: 3, Reload: 1, Change: 1}
)

// ResumedMix is a mix of lost, replaced, paused and disconnected instances while upstreams break streams off and
// resume them wrongly. With PlannedResumedMix instances are replaced, and nothing else.
var (
	ResumedMix        = Mix{Kill: 4, Terminate: 4, Pause: 3, Reload: 1, Change: 3, PeerLink: 2, SourceOutage: 1, SourceLink: 1}
	PlannedResumedMix = Mix{Terminate: 4, Reload: 2, Change: 4}
)

// RejoinedMix is a mix of releases of upstreams that overlap, while many instances are lost or replaced. With
// PlannedRejoinedMix they are replaced alone.
var (
	RejoinedMix        = Mix{Release: 4, KillSeveral: 5, Kill: 1, RestartAll: 2, Change: 1}
	PlannedRejoinedMix = Mix{Release: 5, RestartAll: 3, Change: 1}
)

// Disconnects reports whether a mix has faults after which instances are out of touch.
func (m Mix) Disconnects() bool {
	return m[PeerLink] > 0 || m[Kill] > 0 || m[KillSeveral] > 0 || m[Pause] > 0
}

// ThrottledMix is a mix of lost and replaced instances that have little processor time each.
var ThrottledMix = Mix{Kill: 3, Terminate: 4, Pause: 1, Reload: 1, Change: 2}

// HoldMix is a mix of silent paths between instances, while instances are killed, replaced and paused. With
// PlannedHoldMix instances are replaced, and nothing else.
var (
	HoldMix        = Mix{Hold: 10, Kill: 1, Terminate: 2, Pause: 2, Reload: 1, Change: 1}
	PlannedHoldMix = Mix{Hold: 10, Terminate: 3, Reload: 1, Change: 1}
)

// PlannedBrittleMix is a mix of the planned work of operators while upstreams are brittle.
var PlannedBrittleMix = Mix{Terminate: 4, Reload: 1, Change: 2}

// RestoreMix is a mix of restores of the source from older copies, while what it publishes changes and
// the instances that read it are killed, paused, partitioned or started.
var RestoreMix = Mix{
	Restore: 6, Change: 4, Revoke: 3, Replace: 3, Evacuate: 2, Kill: 2, Terminate: 2, Pause: 3, SourceLink: 3, SourceOutage: 2, PeerLink: 3, Stuck: 2,
}

// LargeMix is a mix of all faults with many changes of a large configuration, often in quick succession.
// PlannedLargeMix is the same without a fault.
var (
	LargeMix = Mix{
		Change: 14, Revoke: 3, Kill: 3, Terminate: 3, Pause: 3, SourceOutage: 2, SourceLink: 3, PeerLink: 4, Stuck: 2, Replace: 1,
	}
	PlannedLargeMix = Mix{Change: 14, Terminate: 3, Reload: 1}
)

// Event is one fault at one time.
type Event struct {
	At  time.Duration
	For time.Duration
	Fault
	// Target selects what is hit, and Mode how a link is disturbed or a source is unavailable. The
	// injector takes both modulo the number of choices.
	Target int
	Mode   int
}

// String describes an event, for logs.
func (e Event) String() string {
	return fmt.Sprintf("%v for %v: %s target %d mode %d", e.At.Round(time.Millisecond), e.For.Round(time.Millisecond), e.Fault, e.Target, e.Mode)
}

const (
	// meanInterval is the mean time between two events, or between the first events of two bursts.
	meanInterval = 500 * time.Millisecond
	// burstShare is the share of the events that come as a burst of the same fault, maxBurstInterval
	// the longest time between two events of a burst, and maxBurstEvents their largest number.
	burstShare       = 0.3
	maxBurstInterval = 80 * time.Millisecond
	maxBurstEvents   = 4
	// minDuration and maxDuration bound how long a fault lasts.
	minDuration = 50 * time.Millisecond
	maxDuration = 2500 * time.Millisecond
	// targetRange is the exclusive upper bound of Target and Mode.
	targetRange = 1 << 10
)

// NewPlan draws the events of a plan of the given length from a mix, in the order of their times. The
// same seed gives the same plan.
func NewPlan(seed uint64, length time.Duration, mix Mix) []Event {
	r := rand.New(rand.NewPCG(seed, seed))
	var out []Event
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
		e := Event{Fault: mix.draw(r)}
		n := 1
		if r.Float64() < burstShare {
			n = 2 + r.IntN(maxBurstEvents-1)
		}
		for start := at; n > 0; n-- {
			e.At, e.Target, e.Mode = start, r.IntN(targetRange), r.IntN(targetRange)
			e.For = minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration)))
			out = append(out, e)
			start += time.Duration(r.Int64N(int64(maxBurstInterval)))
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

// draw returns a random fault of the mix. It sorts the faults, so that a seed decides the result.
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

// Injector applies faults. Apply must return quickly; undo ends the fault, and is nil where the fault
// ends on its own.
type Injector interface {
	Apply(e Event) (undo func())
}

// Run applies the events at their times. It blocks until all of them are over or ctx is done.
func Run(ctx context.Context, w Injector, events []Event) {
	started := time.Now()
	var active sync.WaitGroup
	for _, e := range events {
		if !wait.For(ctx, e.At-time.Since(started)) {
			break
		}
		undo := w.Apply(e)
		if undo == nil {
			continue
		}
		active.Go(func() {
			wait.For(ctx, e.For)
			undo()
		})
	}
	active.Wait()
}
