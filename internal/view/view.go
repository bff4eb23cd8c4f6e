package view

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/internal/boottime"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/telemetry"
)

// Source reads the configuration and the upstreams from where they are published.
type Source interface {
	// Run passes what is published to the sink, until ctx ends. It blocks.
	Run(ctx context.Context, sink Sink)
	// Decode decodes a published configuration into a document.
	Decode(content []byte) (*routing.Document, error)
	// ReadEntry reads the published entry of one upstream. It blocks, for a bounded time. For an
	// invalid entry, one that can't be decoded into a usable upstream, it returns a change that is
	// marked Unreadable, along with the error.
	ReadEntry(ctx context.Context, id string) (Change, error)
	// BytesRead returns the size of all responses read so far, in bytes.
	BytesRead() int64
}

// Sink receives what a Source reads. Its methods may be called by several goroutines.
type Sink interface {
	// SetConfiguration sets the configuration published under a revision. The read that returned it
	// was sent at asOf.
	SetConfiguration(revision int64, content []byte, asOf time.Time)
	// ConfirmConfiguration records that a read sent at asOf showed the configuration published under
	// a revision to be the latest, without its content.
	ConfirmConfiguration(revision int64, asOf time.Time)
	// SetUpstreams sets the whole list, as the source had it at a revision. The read was sent at
	// asOf.
	SetUpstreams(list []Upstream, revision int64, asOf time.Time)
	// ApplyChanges applies the changes of the list since, in order, up to a revision. The read that
	// returned them was sent at asOf.
	ApplyChanges(changes []Change, revision int64, asOf time.Time)
	// ProveCurrent records that a read sent at asOf showed the source at a revision. A list that is
	// complete up to it is current as of then.
	ProveCurrent(revision int64, asOf time.Time)
	// SetEvacuations sets all availability zones that are evacuated, as the source had them at a
	// revision. It is called before SetConfiguration with the same read, so that an instance that has
	// a configuration knows the evacuations as of the same time.
	SetEvacuations(zones []string, revision int64)
	// ApplyZoneChanges applies the beginnings and ends of evacuations after one revision and up to another, in order. It
	// reports whether the evacuations are known up to the latter: not if those up to the former weren't.
	ApplyZoneChanges(changes []ZoneChange, after, revision int64) (known bool)
	// SourceReached and SourceUnreachable report whether the source responds.
	SourceReached()
	SourceUnreachable(reading string, err error)
	// ReportMalformed reports an invalid entry, which is left out of the list.
	ReportMalformed(err error)
	// ReportListRead reports the read of a whole list, for the log.
	ReportListRead(r ListRead)
}

// ListRead describes the read of a whole list.
type ListRead struct {
	// Cause is why the changes alone were not enough; nil for the first list.
	Cause error
	// Revision up to which the list is complete.
	Revision int64
	// Pages is the number of pages read.
	Pages int
	// Took is the time from sending the first read to the response to the last one.
	Took time.Duration
}

// Upstream is the published entry of one process that runs requests; the list has one entry per ID. A
// restarted process is another upstream: it has another ID, or the same ID and another Incarnation.
type Upstream struct {
	// ID identifies the entry, and together with Incarnation one start of the process.
	ID string `cbor:"1,keyasint"`
	// Service that it belongs to.
	Service string `cbor:"2,keyasint"`
	// Address as IP:port. Another upstream may use it later.
	Address string `cbor:"3,keyasint"`
	// Zone is its availability zone.
	Zone string `cbor:"4,keyasint"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `cbor:"5,keyasint"`
	// Leaving upstreams get no new requests.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Revision of its entry; higher is newer.
	Revision int64 `cbor:"7,keyasint"`
	// Incarnation distinguishes processes that use one ID one after another; that of a later process
	// is higher. A process that starts again under its ID has no requests and no state of the
	// previous one. 0 is unknown.
	Incarnation int64 `cbor:"8,keyasint,omitempty"`
	// Sequence counts the entries that one process has written of itself; 0 is unknown.
	Sequence int64 `cbor:"9,keyasint,omitempty"`
	// Cold is the remaining time of its cold start, as of the moment at which the entry, or a list
	// with it, is passed on.
	Cold time.Duration `cbor:"10,keyasint,omitempty"`
	// Version of its software. Versions have no order; empty is unknown, as in a list that came through an
	// instance that doesn't read versions.
	Version string `cbor:"11,keyasint,omitempty"`
}

// writtenBefore reports whether the upstream wrote this entry before another one, by incarnation and
// sequence number. The source may store them in another order, where a write was delayed.
func (u Upstream) writtenBefore(other Upstream) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > 0 && u.Incarnation < other.Incarnation
	}
	return u.Sequence > 0 && u.Sequence < other.Sequence
}

// Change is one change of the list.
type Change struct {
	// Removed is set when the upstream has left the list; Upstream then has ID and revision only.
	Removed bool
	// Unreadable is set when the entry exists but is invalid; Upstream then has ID and revision only.
	Unreadable bool
	Upstream   Upstream
}

// Options configure a View.
type Options struct {
	Source Source
	// Lease is the maximum age of the configuration for requests under an API key.
	Lease time.Duration
	// ServeStale allows such requests past the lease, too.
	ServeStale bool
	// SettlePeriod is the time after an outage of the source in which upstreams that are missing from
	// the list may come back to it.
	SettlePeriod time.Duration
	// LapseAfter is the shortest outage of the source in which entries may lapse, that is, expire
	// because they can't be renewed, though their upstreams are running.
	LapseAfter time.Duration
	// OnUpstreams is called with the difference after each change of the list, one call at a time.
	// The View is locked during the call, so it must not call the View.
	OnUpstreams func(ListChange)
	// OnEvacuations is called with the evacuated zones after each change of them, one call at a time.
	OnEvacuations func(zones []string)
	// OnRoutesChanged is called with the services of routes that changed, before the new configuration comes into force. The
	// View is locked during the call, so it must not call the View.
	OnRoutesChanged func(services []string)
	// OnTable is called after a new configuration came into force, one call at a time and in the order of versions. One
	// that was replaced before its turn is left out.
	OnTable func(*routing.Table)
	// Now returns the time by a clock that also advances while the machine is suspended; the default
	// is boottime.Now.
	Now     func() time.Time
	Metrics *telemetry.Metrics
	Log     *log.Logger
}

// View is one instance's view of the configuration, the upstreams and the evacuations. It is safe for
// concurrent use.
type View struct {
	o Options

	mu              sync.Mutex
	configuration   Configuration
	table           *routing.Table
	routes          routeHistory
	lastRefused     refusedConfiguration
	asOf            time.Time
	uptimeSince     time.Time // since then, reads that confirmed the configuration were less than LapseAfter apart
	upstreams       roster
	evacuations     evacuations
	settleTimer     *time.Timer // nil until an upstream was missing
	reachable       bool
	everReached     bool
	loggedMalformed map[string]bool      // errors of invalid entries that were logged
	malformedSince  time.Time            // when the first of them was logged
	recheckedAt     map[string]time.Time // when the entries of upstreams that may leave were last read, by ID

	// passing has capacity 1 and holds an element during a call of OnTable, and passedOn is the configuration of the last
	// call. Only its holder uses passedOn.
	passing  chan struct{}
	passedOn *routing.Table
}

// Configuration is a published configuration as it is sent to peers.
type Configuration struct {
	Revision int64
	Content  []byte
}

// New returns a View without a configuration, upstreams or evacuations.
func New(o Options) *View {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	return &View{o: o, upstreams: newRoster(o.SettlePeriod + o.LapseAfter), passing: make(chan struct{}, 1)}
}

// Run follows the source until ctx ends.
func (v *View) Run(ctx context.Context) { v.o.Source.Run(ctx, v) }

// Table returns the configuration in force and its age. It returns nil while no configuration or no
// evacuations are known.
func (v *View) Table() (*routing.Table, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isInForce() {
		return nil, 0
	}
	return v.table, v.o.Now().Sub(v.asOf)
}

// IsUsable reports whether a configuration of this age may still decide on API keys: within the
// lease, or at any age with ServeStale.
func (v *View) IsUsable(age time.Duration) bool { return age < v.o.Lease || v.o.ServeStale }

// SetConfiguration implements Sink.
func (v *View) SetConfiguration(revision int64, content []byte, asOf time.Time) {
	v.offer(Configuration{Revision: revision, Content: content}, asOf, "source")
}

// ConfirmConfiguration implements Sink. A configuration that is not in force is not confirmed.
func (v *View) ConfirmConfiguration(revision int64, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && v.configuration.Revision == revision {
		v.prove(asOf)
	}
}

// MergeConfiguration merges a configuration that a peer sent.
func (v *View) MergeConfiguration(c Configuration, asOf time.Time, peer string) {
	if c.Revision > 0 {
		v.offer(c, asOf, "peer "+peer)
	}
}

// PublishedConfiguration returns the configuration to send to a peer, and its age.
func (v *View) PublishedConfiguration() (Configuration, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return Configuration{}, 0
	}
	return v.configuration, v.o.Now().Sub(v.asOf)
}

// Revision returns the revision in force, 0 while there is none.
func (v *View) Revision() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configuration.Revision
}

// Age returns the age of the configuration; known is false while there is none in force.
func (v *View) Age() (age time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.o.Now().Sub(v.asOf), v.isInForce()
}

// isInForce reports whether a configuration and the evacuations are known, so that requests may be
// served. The caller holds the lock.
func (v *View) isInForce() bool { return v.table != nil && v.evacuations.version > 0 }

// offer handles a configuration from the source or a peer: an older one is ignored, the same one
// confirms the one in force, and a newer one comes into force if it is valid.
func (v *View) offer(c Configuration, asOf time.Time, from string) {
	if v.confirm(c, asOf, from) {
		return
	}
	table, err := v.build(c.Content)
	if err != nil {
		v.o.Metrics.Count("tacktally_config_rejected_total")
		v.o.Log.Error().Str("event", "config_rejected").Int64("revision", c.Revision).Str("from", from).Str("cause", err.Error()).Msg("")
		return
	}
	if !v.accept(c, table, asOf, from) {
		return
	}
	v.o.Metrics.Count("tacktally_config_accepted_total")
	v.passOn()
}

// passOn calls OnTable with the configuration in force, unless that was done. It blocks during calls of others, so
// that an older configuration can't be passed on after a newer one.
func (v *View) passOn() {
	if v.o.OnTable == nil {
		return
	}
	v.passing <- struct{}{}
	defer func() { <-v.passing }()
	v.mu.Lock()
	table := v.table
	v.mu.Unlock()
	if table == v.passedOn {
		return
	}
	v.passedOn = table
	v.o.OnTable(table)
}

// confirm handles configurations that needn't be decoded: the one in force, older ones of its epoch,
// and the last one refused. It reports whether this was one of them.
func (v *View) confirm(c Configuration, asOf time.Time, from string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return false
	}
	inForce := v.configuration
	same := bytes.Equal(c.Content, inForce.Content)
	switch {
	case same, len(c.Content) == 0 && c.Revision == inForce.Revision:
		if c.Revision > inForce.Revision {
			v.replaceRoutes(v.table) // others may have been in force meanwhile
		}
		v.configuration.Revision = max(inForce.Revision, c.Revision)
		v.prove(asOf)
	case EpochOf(c.Revision) == EpochOf(inForce.Revision) && c.Revision < inForce.Revision, c.Revision == v.lastRefused.revision:
		v.logOlder(c.Revision, from)
	default:
		return false
	}
	return true
}

// NeedsContent reports whether the content of a configuration published under a revision is needed to
// decide on it: it is neither in force nor known to be older.
func (v *View) NeedsContent(revision int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	inForce := v.configuration.Revision
	older := EpochOf(revision) == EpochOf(inForce) && revision <= inForce
	return v.table == nil || (!older && revision != v.lastRefused.revision)
}

// refusedConfiguration is one that was refused because a newer one is in force.
type refusedConfiguration struct{ revision, version int64 }

// logOlder counts and logs an older configuration. The caller holds the lock.
func (v *View) logOlder(revision int64, from string) {
	version := int64(0)
	if revision == v.lastRefused.revision {
		version = v.lastRefused.version
	}
	v.o.Metrics.Count("tacktally_config_older_total")
	v.o.Log.Warn().Str("event", "config_older").Int64("revision", revision).Int64("version", version).
		Int64("in_force", v.configuration.Revision).Int64("version_in_force", v.table.Version).Str("from", from).Msg("")
}

func (v *View) build(content []byte) (*routing.Table, error) {
	d, err := v.o.Source.Decode(content)
	if err != nil {
		return nil, fmt.Errorf("decode the published configuration: %w", err)
	}
	return routing.Build(d)
}

// accept brings a configuration into force, unless it is older than the one in force. Configurations
// are ordered by the version that they contain, since a restored source may publish an older one
// under a newer position; of two with the same version, the one with the later position wins.
//
// An older configuration doesn't confirm the one in force, even if it is the newest that the source
// has: a restored source may have lost one that is newer than both.
func (v *View) accept(c Configuration, table *routing.Table, asOf time.Time, from string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && !isNewer(table.Version, c.Revision, v.table.Version, v.configuration.Revision) {
		v.lastRefused = refusedConfiguration{c.Revision, table.Version}
		v.logOlder(c.Revision, from)
		return false
	}
	if EpochOf(c.Revision) < EpochOf(v.configuration.Revision) {
		v.asOf = time.Time{} // reads of the restored copy confirmed only its own content
	}
	if EpochOf(c.Revision) == EpochOf(v.evacuations.version) {
		v.evacuations.shortenRetention(v.o.Now())
		v.scheduleRelease()
	}
	v.logAccepted(c, table, asOf, from)
	v.replaceRoutes(table)
	v.configuration = c
	v.table = table
	v.prove(asOf) // a later proof of the previous configuration holds for this one too
	return true
}

// logAccepted logs a configuration that is about to come into force, with the one in force until now. The caller
// holds the lock, so that the lines are in the order in which configurations come into force.
func (v *View) logAccepted(c Configuration, table *routing.Table, asOf time.Time, from string) {
	versionBefore := int64(0)
	if v.table != nil {
		versionBefore = v.table.Version
	}
	v.o.Log.Info().Str("event", "config_accepted").Int64("revision", c.Revision).Int64("version", table.Version).
		Int64("revision_before", v.configuration.Revision).Int64("version_before", versionBefore).
		Int("routes", table.Routes()).Int("bytes", len(c.Content)).Dur("age", v.o.Now().Sub(asOf)).Str("from", from).Msg("")
}

// isNewer compares two configurations by version, then by position.
func isNewer(version, position, otherVersion, otherPosition int64) bool {
	return cmp.Or(cmp.Compare(version, otherVersion), cmp.Compare(position, otherPosition)) > 0
}

// IsOlderThan reports whether the configuration in force is older than one with the given version and
// position. A version of 0 is unknown; the positions alone are compared then.
func (v *View) IsOlderThan(version, position int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || version == 0 {
		return position > v.configuration.Revision
	}
	return isNewer(version, position, v.table.Version, v.configuration.Revision)
}

// Version returns the version that the configuration in force contains, 0 while there is none.
func (v *View) Version() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return 0
	}
	return v.table.Version
}

// prove records when the read was sent that confirmed the configuration in force. The caller holds
// the lock.
func (v *View) prove(asOf time.Time) {
	if !asOf.After(v.asOf) {
		return
	}
	if asOf.Sub(v.asOf) >= v.o.LapseAfter {
		v.uptimeSince = asOf
	}
	v.asOf = asOf
}
