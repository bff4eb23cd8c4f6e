package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// readersPerZone is how many instances of an availability zone read the source.
	// The others learn from them: each read is one of a bounded number. Two, so that
	// the loss of one leaves no gap.
	readersPerZone = 2
	// findFor is how long after its start an instance that knows nobody leaves reading to
	// the seeds: while a fleet starts all at once, each takes itself for the first of its
	// zone, and 295 of them made 1,410 calls. One that reaches no seed reads after it.
	findFor = 400 * time.Millisecond
	// turnInterval is how often an instance looks whether it is to read.
	turnInterval = 250 * time.Millisecond
	// askShare is the part of the lease past which an instance that doesn't read asks
	// a reader for a younger proof of the configuration, and askListShare the part of the time
	// within which upstreams that leave must get nothing new past which it does so for the
	// list: a reader's own proof is up to a half of that time old. What peers announce comes
	// sooner; this is for links that bring nothing any more.
	askShare     = 0.3
	askListShare = 0.5
	// alarmShare and alarmListShare are the parts past which it asks all peers, and reads
	// itself.
	alarmShare     = 0.5
	alarmListShare = 1.0
	// alarmHold is how long it goes on reading then, so that it doesn't begin and end
	// in turn.
	alarmHold = 10 * time.Second
	// alarmedReaders is how many of a zone read once their configuration is too old, and
	// widenAlarm the time in which they become twice as many while it stays so. If the source
	// is away for all, more of them reach it no sooner, and 295 that ask until it is back are
	// some thousand calls. If it turns a third of the instances away, one of eight and more
	// reaches it but for 0.02% (worked out), and the others have its proof from it; so widening
	// may take as long as a lease does. With 2 s all read again in an outage of 8 s.
	alarmedReaders = 8
	widenAlarm     = 5 * time.Second
	// askInterval is how often peers are asked.
	askInterval = 400 * time.Millisecond
)

// reading decides which instances read the source. Safe for concurrent use.
type reading struct {
	mu      sync.Mutex
	on      bool
	alarmed time.Time // when the configuration was last found too old
	since   time.Time // since when it has been so, without a pause of alarmHold
}

// active tells whether this instance reads.
func (r *reading) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.on
}

func (r *reading) set(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.on = on
}

// alarm notes that the configuration is too old.
func (r *reading) alarm(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.alarmed.IsZero() || now.Sub(r.alarmed) >= alarmHold {
		r.since = now
	}
	r.alarmed = now
}

// alarmsFor returns how many of a zone are to read because of what is too old. The caller
// holds the lock.
func (r *reading) alarmsFor(now time.Time) int {
	if r.alarmed.IsZero() || now.Sub(r.alarmed) >= alarmHold {
		return 0
	}
	return alarmedReaders << min(int(r.alarmed.Sub(r.since)/widenAlarm), maxWidenings)
}

// maxWidenings bounds the widening to more instances than a zone has.
const maxWidenings = 16

// due tells whether an instance of an age is to read: it is one of the first hubs of its
// zone, or one of some more whose configuration got too old lately. One that has just started
// leaves it to the seeds.
func (r *reading) due(now time.Time, age time.Duration, role peer.Role) bool {
	r.mu.Lock()
	alarmed := role.ZoneRank < r.alarmsFor(now)
	r.mu.Unlock()
	switch {
	case alarmed:
		return true
	case age < findFor:
		return role.Seed || role.NoOtherSeed
	default:
		return role.HubRank >= 0 && role.HubRank < readersPerZone
	}
}

// reader returns a peer of the zone that is linked to and reads, or "".
func reader(zone string, peers []peer.Status) string {
	for _, p := range peers {
		if p.Linked && p.ReadsSource && p.Zone == zone {
			return p.Address
		}
	}
	return ""
}

// readInTurn reads the source whenever it is this instance's turn, until ctx ends.
func (i *Instance) readInTurn(ctx context.Context) {
	for ctx.Err() == nil {
		if !i.isTurn() {
			wait.For(ctx, i.untilNextTurn())
			continue
		}
		i.log.Info().Str("event", "reading_began").Msg("")
		i.readUntilOthersDo(ctx)
		i.log.Info().Str("event", "reading_ended").Msg("")
	}
}

// untilNextTurn is when to look again whether it is this instance's turn.
func (i *Instance) untilNextTurn() time.Duration {
	left := findFor - time.Since(i.started)
	if left <= 0 {
		return turnInterval
	}
	return min(left, turnInterval)
}

func (i *Instance) isTurn() bool {
	return i.reading.due(time.Now(), time.Since(i.started), i.mesh.Role())
}

func (i *Instance) readUntilOthersDo(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	i.reading.set(true)
	defer i.reading.set(false)
	var follow sync.WaitGroup
	follow.Go(func() { i.view.Run(ctx) })
	for ctx.Err() == nil && i.isTurn() {
		wait.For(ctx, turnInterval)
	}
	stop()
	follow.Wait()
}

// askPeers keeps the configuration and the list proved: by a reader of the zone, and by
// anybody once that fails.
func (i *Instance) askPeers(ctx context.Context) {
	for wait.For(ctx, askInterval) {
		old := i.howOld()
		if old == fresh {
			continue
		}
		near := reader(i.settings.Zone, i.mesh.Peers())
		if near != "" && old == ageing {
			i.mesh.ScheduleFetch(near)
			continue
		}
		if old == tooOld {
			i.reading.alarm(time.Now())
		}
		i.mesh.FetchAny(ctx)
	}
}

// oldness is how old something is that peers can prove.
type oldness int

// What is ageing is asked for, what is too old alarms.
const (
	fresh oldness = iota
	ageing
	tooOld
)

// howOld tells how old the older of the configuration and the list is. While there is none,
// its age is the time since the start, within which the others of the zone may read it.
func (i *Instance) howOld() oldness {
	configuration, known := i.view.Age()
	if !known {
		configuration = time.Since(i.started)
	}
	list, known := i.view.ListAge()
	if !known {
		list = time.Since(i.started)
	}
	r := i.settings.Routed
	return max(oldnessOf(configuration, time.Duration(r.Lease), askShare, alarmShare),
		oldnessOf(list, time.Duration(r.LeaveWithin), askListShare, alarmListShare))
}

func oldnessOf(age, bound time.Duration, ask, alarm float64) oldness {
	switch part := float64(age) / float64(bound); {
	case part >= alarm:
		return tooOld
	case part >= ask:
		return ageing
	default:
		return fresh
	}
}
