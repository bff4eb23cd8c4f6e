package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/wait"
)

const (
	// readersPerZone is how many instances of an availability zone read the source. The others get
	// its state from them, since the number of reads is bounded. With two, the loss of one leaves
	// no gap.
	readersPerZone = 2
	// discoveryTime is how long after its start an instance that knows no other leaves reading to
	// the seeds: when a fleet starts all at once, each instance considers itself the first of its
	// zone, and 295 of them made 1,410 calls. An instance that reaches no seed reads after this
	// time.
	discoveryTime = 400 * time.Millisecond
	// roleCheckInterval is how often an instance checks whether it has to read the source.
	roleCheckInterval = 250 * time.Millisecond
	// configFetchShare is the share of the lease past which an instance that doesn't read the
	// source fetches a more recent proof of the configuration from a reader. listFetchShare is the
	// same for the list, as a share of the time within which leaving upstreams must get no new
	// requests; a reader's own proof is up to half of that time old. Announcements of peers come
	// sooner; these fetches are for links on which nothing arrives any more.
	configFetchShare = 0.3
	listFetchShare   = 0.5
	// configAlarmShare and listAlarmShare are the shares past which it fetches from all peers, and
	// reads the source itself.
	configAlarmShare = 0.5
	listAlarmShare   = 1.0
	// alarmHold is how long it then keeps reading, so that it doesn't alternate between starting
	// and stopping.
	alarmHold = 10 * time.Second
	// alarmedReaders is how many instances of a zone read the source once their configuration is
	// stale, and widenInterval the time in which their number doubles while it stays so. If the
	// source is down for all, more readers don't reach it sooner, and 295 that poll it until it is
	// back make some thousand calls. If it rejects a third of the instances, at least one of eight
	// reaches it, except with a probability of 0.02%, and the others get its proof from that one;
	// so widening may take as long as a lease. With 2 s, an outage of 8 s made all instances read.
	alarmedReaders = 8
	widenInterval  = 5 * time.Second
	// fetchInterval is how often the age of the proofs is checked, and a fetch made if needed.
	fetchInterval = 400 * time.Millisecond
)

// readerElection decides whether this instance reads the source. It is safe for concurrent use.
type readerElection struct {
	mu           sync.Mutex
	reading      bool
	lastAlarm    time.Time // when the configuration or the list was last found stale
	alarmedSince time.Time // since when it has been stale, without a gap of alarmHold
}

// active reports whether this instance reads the source.
func (r *readerElection) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reading
}

func (r *readerElection) setActive(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = on
}

// recordAlarm records that the configuration or the list is stale.
func (r *readerElection) recordAlarm(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastAlarm.IsZero() || now.Sub(r.lastAlarm) >= alarmHold {
		r.alarmedSince = now
	}
	r.lastAlarm = now
}

// alarmedReaderCount returns how many instances of a zone have to read the source because of a
// recent alarm. The caller holds the lock.
func (r *readerElection) alarmedReaderCount(now time.Time) int {
	if r.lastAlarm.IsZero() || now.Sub(r.lastAlarm) >= alarmHold {
		return 0
	}
	return alarmedReaders << min(int(r.lastAlarm.Sub(r.alarmedSince)/widenInterval), maxWidenings)
}

// maxWidenings bounds the doublings, to more instances than a zone has.
const maxWidenings = 16

// shouldRead reports whether an instance of the given age and role has to read the source: it is
// one of the first hubs of its zone, or one of the alarmed readers. An instance that has just
// started leaves it to the seeds.
func (r *readerElection) shouldRead(now time.Time, age time.Duration, role peer.Role) bool {
	r.mu.Lock()
	alarmed := role.ZoneRank < r.alarmedReaderCount(now)
	r.mu.Unlock()
	switch {
	case alarmed:
		return true
	case age < discoveryTime:
		return role.Seed || role.NoOtherSeed
	default:
		return role.HubRank >= 0 && role.HubRank < readersPerZone
	}
}

// zoneReader returns a linked peer of the zone that reads the source, or "".
func zoneReader(zone string, peers []peer.Status) string {
	for _, p := range peers {
		if p.Linked && p.Report != nil && p.ReadsSource && p.Zone == zone {
			return p.Address
		}
	}
	return ""
}

// runReader reads the source while this instance has to, until ctx ends.
func (i *Instance) runReader(ctx context.Context) {
	for ctx.Err() == nil {
		if !i.shouldRead() {
			wait.For(ctx, i.nextRoleCheck())
			continue
		}
		i.log.Info().Str("event", "reading_began").Msg("")
		i.readSource(ctx)
		i.log.Info().Str("event", "reading_ended").Msg("")
	}
}

// nextRoleCheck returns the time until the next check whether this instance has to read.
func (i *Instance) nextRoleCheck() time.Duration {
	left := discoveryTime - time.Since(i.started)
	if left <= 0 {
		return roleCheckInterval
	}
	return min(left, roleCheckInterval)
}

func (i *Instance) shouldRead() bool {
	return i.election.shouldRead(time.Now(), time.Since(i.started), i.mesh.Role())
}

// readSource reads the source until this instance doesn't have to any more, or ctx ends.
func (i *Instance) readSource(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	i.election.setActive(true)
	defer i.election.setActive(false)
	var follow sync.WaitGroup
	follow.Go(func() { i.view.Run(ctx) })
	for ctx.Err() == nil && i.shouldRead() {
		wait.For(ctx, roleCheckInterval)
	}
	stop()
	follow.Wait()
}

// refreshFromPeers keeps the proofs of the configuration and the list recent until ctx ends: by
// fetches from a reader of the zone, and from any peer if those fail.
func (i *Instance) refreshFromPeers(ctx context.Context) {
	for wait.For(ctx, fetchInterval) {
		worst := i.worstStaleness()
		if worst == fresh {
			continue
		}
		readerAddress := zoneReader(i.settings.Zone, i.mesh.Peers())
		if readerAddress != "" && worst == ageing {
			i.mesh.ScheduleFetch(readerAddress)
			continue
		}
		if worst == stale {
			i.election.recordAlarm(time.Now())
		}
		i.mesh.FetchAny(ctx)
	}
}

// staleness grades the age of the last proof that some state is current.
type staleness int

// Ageing state is fetched from a reader of the zone; stale state raises the alarm.
const (
	fresh staleness = iota
	ageing
	stale
)

// worstStaleness returns the staleness of the configuration or the list, whichever is worse. The age
// of one that this instance doesn't have yet is the time since its start, within which other
// instances of the zone may read it.
func (i *Instance) worstStaleness() staleness {
	configuration, known := i.view.Age()
	if !known {
		configuration = time.Since(i.started)
	}
	list, known := i.view.ListAge()
	if !known {
		list = time.Since(i.started)
	}
	r := i.settings.Routed
	return max(stalenessOf(configuration, time.Duration(r.Lease), configFetchShare, configAlarmShare),
		stalenessOf(list, time.Duration(r.LeaveWithin), listFetchShare, listAlarmShare))
}

// stalenessOf grades an age by its share of a bound.
func stalenessOf(age, bound time.Duration, fetch, alarm float64) staleness {
	switch share := float64(age) / float64(bound); {
	case share >= alarm:
		return stale
	case share >= fetch:
		return ageing
	default:
		return fresh
	}
}
