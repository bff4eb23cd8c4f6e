// Package view holds what an instance believes of the routed configuration and of
// the upstreams, from where it learned it, and as of when.
//
// Belief comes from a Source and from peers. The configuration never goes back to an
// older version within a process, whatever the source says: it may come back from an older
// copy of itself, and give its revisions out again (see Position). Its age is counted on the steady clock from the
// moment at which the read that proved it was sent, so that it can serve as a lease:
// see Fresh.
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
	// Run tells the sink what is published, until ctx ends. It blocks.
	Run(ctx context.Context, sink Sink)
	// Decode turns a published configuration into a document.
	Decode(content []byte) (*routing.Document, error)
	// ReadEntry reads what is published of one upstream now. It blocks, for a bounded time. An entry that
	// makes no sense is a change that says so, beside the error.
	ReadEntry(ctx context.Context, id string) (Change, error)
}

// Sink takes what a Source reads. Its methods may be called by several goroutines.
type Sink interface {
	// SetConfiguration is what was published under a revision, as of a time: the moment
	// at which the read was sent.
	SetConfiguration(revision int64, content []byte, asOf time.Time)
	// SetUpstreams is the whole list, as the source had it at a revision. The read was sent
	// at asOf.
	SetUpstreams(list []Upstream, revision int64, asOf time.Time)
	// ApplyChanges are what happened to the list since, in order, up to a revision.
	ApplyChanges(changes []Change, revision int64, asOf time.Time)
	// ProveCurrent is the source's revision, as a read shows it that was sent at asOf. A list
	// that is complete up to it is proved current.
	ProveCurrent(revision int64, asOf time.Time)
	// SetEvacuations is all availability zones that are evacuated, as the source had them at a
	// revision. It is told ahead of the configuration that the same read brought, so that whoever
	// has a configuration knows them as of the same time.
	SetEvacuations(zones []string, revision int64)
	// ApplyZoneChanges are evacuations that began and ended since, in order, up to a revision.
	ApplyZoneChanges(changes []ZoneChange, revision int64)
	// SourceReached and Unreachable tell whether the source answers.
	SourceReached()
	SourceUnreachable(reading string, err error)
	// ReportMalformed tells of a published entry that makes no sense and is left out.
	ReportMalformed(err error)
	// ReportListRead tells of a whole list that was read, for the log.
	ReportListRead(r ListRead)
}

// ListRead is how a whole list was read.
type ListRead struct {
	// Cause is why the changes alone didn't do; nil for the first list.
	Cause error
	// Revision up to which the list is complete.
	Revision int64
	Pages    int
	// Took is the time from the first read's sending to the last one's answer.
	Took time.Duration
}

// Upstream is one process that runs requests. A restart is another upstream.
type Upstream struct {
	// ID names this start of it.
	ID string `cbor:"1,keyasint"`
	// Service that it belongs to.
	Service string `cbor:"2,keyasint"`
	// Address as IP:port. Another upstream may take it over later.
	Address string `cbor:"3,keyasint"`
	// Zone is its availability zone.
	Zone string `cbor:"4,keyasint"`
	// Slots is how many requests it runs at once.
	Slots int `cbor:"5,keyasint"`
	// Leaving upstreams get nothing new.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Revision of its entry; higher is newer.
	Revision int64 `cbor:"7,keyasint"`
	// Incarnation tells its processes apart: one that starts again under its ID holds and knows
	// nothing of what the one before did. 0 where it isn't told.
	Incarnation int64 `cbor:"8,keyasint,omitempty"`
	// Sequence counts what one process writes of itself; 0 where it isn't told.
	Sequence int64 `cbor:"9,keyasint,omitempty"`
	// Cold is how much longer it is cold, as of the moment at which the entry, or a list that it
	// is on, is handed over.
	Cold time.Duration `cbor:"10,keyasint,omitempty"`
}

// writtenBefore tells whether its entry was written before another one of the same upstream, by
// their writers' own word. The source may store them in another order, where one was held up.
func (u Upstream) writtenBefore(other Upstream) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > 0 && u.Incarnation < other.Incarnation
	}
	return u.Sequence > 0 && u.Sequence < other.Sequence
}

// Change is one change of the list.
type Change struct {
	// Removed is set, with ID and revision alone, when the upstream left the list, and
	// Unreadable when its entry is there and names no upstream that can be used.
	Removed    bool
	Unreadable bool
	Upstream   Upstream
}

// Options of a View.
type Options struct {
	Source Source
	// Lease is how old the configuration may be for requests under an API key.
	Lease time.Duration
	// ServeStale lets it decide on them past the lease, too.
	ServeStale bool
	// SettlePeriod is the time after a return of the source in which upstreams that are
	// missing from the list may come back to it.
	SettlePeriod time.Duration
	// LapseAfter is the shortest outage of the source in which entries may lapse though
	// their upstreams live.
	LapseAfter time.Duration
	// OnUpstreams is called with what has changed of the list after a change of it, one call at a
	// time. It is called while beliefs are locked, and may not ask for them.
	OnUpstreams func(ListChange)
	// OnEvacuations is called with the zones that are evacuated after a change of them, one call
	// at a time.
	OnEvacuations func(zones []string)
	// OnTable is called after a new configuration came into force.
	OnTable func(*routing.Table)
	// Now tells the time that goes on while the machine is suspended; boottime.Now where absent.
	Now     func() time.Time
	Metrics *telemetry.Metrics
	Log     *log.Logger
}

// View is what one instance believes. Safe for concurrent use.
type View struct {
	o Options

	mu              sync.Mutex
	configuration   Configuration
	table           *routing.Table
	lastRefused     olderConfiguration // the last one that was refused
	asOf            time.Time
	uptimeSince     time.Time // no gap between two proofs since was as long as Lapse
	upstreams       roster
	evacuations     evacuations
	settleTimer     *time.Timer // nil until an upstream was missing
	reachable       bool
	everReached     bool
	loggedMalformed map[string]bool      // causes that were logged
	recheckedAt     map[string]time.Time // when the entries of upstreams that may leave were read, by ID
}

// Configuration is a published configuration as it is handed to peers.
type Configuration struct {
	Revision int64
	Content  []byte
}

// New returns a View that knows nothing.
func New(o Options) *View {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	return &View{o: o, upstreams: newRoster(o.SettlePeriod + o.LapseAfter)}
}

// Run follows the source until ctx ends.
func (v *View) Run(ctx context.Context) { v.o.Source.Run(ctx, v) }

// Table returns the configuration in force and its age, or nil while none is known, or while it
// isn't known which availability zones are evacuated.
func (v *View) Table() (*routing.Table, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isInForce() {
		return nil, 0
	}
	return v.table, v.o.Now().Sub(v.asOf)
}

// IsUsable tells whether a configuration of this age may still decide on API keys.
func (v *View) IsUsable(age time.Duration) bool { return age < v.o.Lease || v.o.ServeStale }

// SetConfiguration takes what the source published. It implements Sink.
func (v *View) SetConfiguration(revision int64, content []byte, asOf time.Time) {
	v.offer(Configuration{Revision: revision, Content: content}, asOf, "source")
}

// MergeConfiguration takes a configuration that a peer handed over.
func (v *View) MergeConfiguration(c Configuration, asOf time.Time, peer string) {
	if c.Revision > 0 {
		v.offer(c, asOf, "peer "+peer)
	}
}

// PublishedConfiguration returns the configuration for a peer, and its age.
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

// Age returns how old the configuration is; Known is false while there is none in force.
func (v *View) Age() (age time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.o.Now().Sub(v.asOf), v.isInForce()
}

// isInForce tells whether requests may be served by what is known. The caller holds the lock.
func (v *View) isInForce() bool { return v.table != nil && v.evacuations.version > 0 }

// offer takes a configuration from any side: an older one is ignored, the same one
// is confirmed, a newer one comes into force if it is valid.
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
	v.o.Log.Info().Str("event", "config_accepted").Int64("revision", c.Revision).Int64("version", table.Version).
		Int("routes", table.Routes()).Dur("age", v.o.Now().Sub(asOf)).Str("from", from).Msg("")
	if v.o.OnTable != nil {
		v.o.OnTable(table)
	}
}

// confirm handles what needn't be decoded: the configuration in force, and older ones of its era. It tells whether
// it did.
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
		v.configuration.Revision = max(inForce.Revision, c.Revision)
		v.prove(asOf)
	case EpochOf(c.Revision) == EpochOf(inForce.Revision) && c.Revision < inForce.Revision, c.Revision == v.lastRefused.revision:
		v.logOlder(c.Revision, from)
	default:
		return false
	}
	return true
}

// olderConfiguration is one that was refused since a newer one is in force.
type olderConfiguration struct{ revision, version int64 }

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
		return nil, fmt.Errorf("publish a configuration that decodes: %w", err)
	}
	return routing.Build(d)
}

// accept brings a configuration into force, unless it is older than what is. Its own version orders it, since a source
// that comes back from a copy publishes what is older than what is in force; of one version the later position holds.
//
// An older configuration proves nothing of the one in force, also where the source has no newer one: what the source
// has lost may have been newer.
func (v *View) accept(c Configuration, table *routing.Table, asOf time.Time, from string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && !isNewer(table.Version, c.Revision, v.table.Version, v.configuration.Revision) {
		v.lastRefused = olderConfiguration{c.Revision, table.Version}
		v.logOlder(c.Revision, from)
		return false
	}
	if EpochOf(c.Revision) < EpochOf(v.configuration.Revision) {
		v.asOf = time.Time{} // reads of the copy proved what it held
	}
	if EpochOf(c.Revision) == EpochOf(v.evacuations.version) {
		v.evacuations.shortenHold(v.o.Now())
		v.scheduleRelease()
	}
	v.configuration = c
	v.table = table
	v.prove(asOf) // or what was proved of the older one holds of this one too
	return true
}

// isNewer compares the versions and positions of two configurations.
func isNewer(version, position, otherVersion, otherPosition int64) bool {
	return cmp.Or(cmp.Compare(version, otherVersion), cmp.Compare(position, otherPosition)) > 0
}

// IsOlderThan tells whether a configuration of a version and position is newer than the one in force. A version of 0
// isn't told.
func (v *View) IsOlderThan(version, position int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || version == 0 {
		return position > v.configuration.Revision
	}
	return isNewer(version, position, v.table.Version, v.configuration.Revision)
}

// Version returns the own version of the configuration in force, 0 while there is none.
func (v *View) Version() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return 0
	}
	return v.table.Version
}

// prove notes when the read was sent that proved the configuration. The caller holds the
// lock.
func (v *View) prove(asOf time.Time) {
	if !asOf.After(v.asOf) {
		return
	}
	if asOf.Sub(v.asOf) >= v.o.LapseAfter {
		v.uptimeSince = asOf
	}
	v.asOf = asOf
}

// SourceUptime returns for how long the configuration was proved all the time, without a gap in
// which entries may lapse; 0 within such a gap.
func (v *View) SourceUptime() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || v.sourceWasAway() {
		return 0
	}
	return v.o.Now().Sub(v.uptimeSince)
}

// SourceReached implements Sink.
func (v *View) SourceReached() {
	v.mu.Lock()
	back := !v.reachable
	first := !v.everReached
	v.reachable = true
	v.everReached = true
	if back && !first && v.sourceWasAway() {
		v.upstreams.settleUntil(v.o.Now().Add(v.o.SettlePeriod))
	}
	v.mu.Unlock()
	if back {
		v.o.Log.Info().Str("event", "source_reached").Bool("first", first).Msg("")
	}
}

// sourceWasAway tells whether the source was away for all, so that entries may have lapsed:
// not even a peer could prove the configuration. Otherwise only this instance didn't
// reach it, and what is missing is gone. Where peers didn't tell of their proofs yet, it
// may be wrong; see SourceWasThere. The caller holds the lock.
func (v *View) sourceWasAway() bool {
	return v.table != nil && v.o.Now().Sub(v.asOf) >= v.o.LapseAfter
}

// SourceUnreachable implements Sink.
func (v *View) SourceUnreachable(reading string, err error) {
	v.mu.Lock()
	lost := v.reachable
	v.reachable = false
	v.mu.Unlock()
	v.o.Metrics.Count("tacktally_source_errors_total")
	if lost {
		v.o.Log.Warn().Str("event", "source_lost").Str("reading", reading).Str("cause", err.Error()).Msg("")
	}
}

// ReportListRead implements Sink.
func (v *View) ReportListRead(r ListRead) {
	line := v.o.Log.Info().Str("event", "list_read").Int64("revision", r.Revision).Int64("known", v.ListVersion()).
		Int("pages", r.Pages).Dur("took", r.Took)
	if r.Cause != nil {
		line = line.Str("cause", r.Cause.Error())
	}
	line.Msg("")
}

// maxMalformedLogged bounds the entries that make no sense of which it is remembered that the log
// names them.
const maxMalformedLogged = 64

// ReportMalformed implements Sink. Each is logged once, however often it is read.
func (v *View) ReportMalformed(err error) {
	v.o.Metrics.Count("tacktally_source_malformed_total")
	if v.wasLogged(err.Error()) {
		return
	}
	v.o.Log.Error().Str("event", "entry_malformed").Str("cause", err.Error()).Msg("it is left out; mend what registers it")
}

// wasLogged tells whether a malformed entry was logged before, and notes that it is.
func (v *View) wasLogged(cause string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loggedMalformed[cause] {
		return true
	}
	if v.loggedMalformed == nil || len(v.loggedMalformed) >= maxMalformedLogged {
		v.loggedMalformed = map[string]bool{}
	}
	v.loggedMalformed[cause] = true
	return false
}
