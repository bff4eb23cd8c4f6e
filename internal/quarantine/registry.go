package quarantine

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/tacktally/tacktally/api"
)

const (
	// lossWindow is the longest time between a lost response and a crash, in either order, for the
	// loss to count towards the crash.
	lossWindow = time.Second
	// settleTime is how long after the last change to its suspects a crash doesn't count towards
	// the verdict on a sole top suspect. By then all instances have reported which requests were
	// there.
	settleTime = 200 * time.Millisecond
	// crashRetention is how long a crash is remembered.
	crashRetention = 10 * time.Minute
	// checkInterval is the shortest time between two diagnoses of an upstream at which responses
	// are lost.
	checkInterval = 100 * time.Millisecond
	// initialPeriod is how long a request is quarantined at first. After a period one probe may
	// show whether the upstreams have been fixed; if it crashes one, the next period is
	// periodFactor times as long, up to maxPeriod.
	initialPeriod = 2 * time.Minute
	periodFactor  = 4
	maxPeriod     = time.Hour
	// probeTimeout is how long after a probe no other one is let through, unless the probe is
	// answered.
	probeTimeout = 10 * time.Second
)

// Bounds on the stored entries.
const (
	maxCrashes         = 64
	maxSuspects        = 32 // per crash
	maxQuarantined     = 256
	maxPerOrganisation = 32 // quarantined requests per organisation
	maxCleared         = 256
)

// Refusal returns the problem for a request that is quarantined for the given remaining time, at this instance
// or at a peer.
func (r *Registry) Refusal(q Request, left time.Duration) *api.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, p, _ := r.longestPeriod(q); len(p.segments) > 0 {
		return api.Refuse(api.ReasonCrashesUpstreams, "upstreams crashed repeatedly while running requests with the prompt's segments %s, so these requests are quarantined; change or leave out these segments, or retry after the given time", segmentNames(p.segments)).WithRetryAfter(left)
	}
	return api.Refuse(api.ReasonCrashesUpstreams, "upstreams crashed repeatedly while running this request, so it is quarantined; change it, or retry after the given time").WithRetryAfter(left)
}

// ErrQuarantined means that the request is quarantined, since upstreams that run it crash.
var ErrQuarantined = errors.New("request is quarantined, since upstreams that run it crash")

// crash is the termination of one process of an upstream.
type crash struct {
	at time.Time
	// lastAt is when the last process of this name terminated: not all upstreams number their processes.
	lastAt time.Time
	// lastChanged is when this instance added the crash or a suspect.
	lastChanged time.Time
	suspects    map[Key]suspect // by the key of the whole request
}

// suspect is a request that was at a crash.
type suspect struct {
	suspicion suspicion
	// segments are those of its prompt that were not in a prompt that was answered since.
	segments []uint64
}

// request returns the suspect with the given key.
func (s suspect) request(k Key) Request { return Request{Key: k, Segments: s.segments} }

// clearing records a response to a suspected request or to a prompt with a suspected segment.
type clearing struct {
	// at is when the response to a request ended, and when that to a prompt began: an upstream that had begun
	// to write it before a crash says nothing about the segment since.
	at time.Time
	// learned is when this instance recorded the clearing.
	learned time.Time
	// count is the number of the request's clearings known then, this one included. It
	// distinguishes a new clearing from a known one; ages can't, since they shift by the message
	// delay.
	count int
}

// loss is a response that broke off, or one that ended without a stated end, whether a crash caused it or not.
type loss struct {
	request Request
	started bool
	// ended reports whether the response ended in order, without a stated end.
	ended bool
	at    time.Time
}

// Registry is one instance's knowledge of crashes and of the requests that were there. It is safe
// for concurrent use.
type Registry struct {
	log  *log.Logger
	owns func(Key) bool

	mu          sync.Mutex
	losses      map[string][]loss // by upstream process, within lossWindow
	checked     map[string]time.Time
	left        map[string]time.Time // when leaving processes were found to have terminated, within lossWindow
	crashes     map[string]*crash    // by upstream process
	quarantined map[Key]period
	cleared     map[Key]clearing
	// responses remembers the requests that were recently answered here, and segmentResponses the segments
	// of prompts that were answered completely, of whichever organisation.
	responses, segmentResponses recentResponses
	// suspectedSegments are the suspected segments, each with the time of its first crash; nil if it must be
	// determined.
	suspectedSegments map[uint64]time.Time
	verdictDue        time.Time // when verdicts must be updated; zero if nothing changed
	lastVerdict       time.Time // the time of the last update of verdicts
	nextVerdict       time.Time // the earliest time of the next one
	round             int       // selects the older entries of the next update
}

// New returns an empty registry. Owns reports whether this instance, of all reachable ones, is the
// one that lets probes of a request through after a quarantine period.
func New(l *log.Logger, owns func(Key) bool) *Registry {
	return &Registry{
		log:         l,
		owns:        owns,
		losses:      map[string][]loss{},
		checked:     map[string]time.Time{},
		left:        map[string]time.Time{},
		crashes:     map[string]*crash{},
		quarantined: map[Key]period{},
		cleared:     map[Key]clearing{},
	}
}

// RecordLostResponse records that the response to a request was lost at an upstream process.
// Started reports whether a part of it had arrived; a request that was answered recently counts as
// started. RecordLostResponse returns whether the upstream must be diagnosed, to tell a crash from
// a broken connection, and whether the loss was added to a known crash, which peers must receive.
func (r *Registry) RecordLostResponse(now time.Time, upstream string, q Request, started bool) (check, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changed, known := r.recordLoss(upstream, loss{request: q, started: started, at: now}); known {
		return false, changed
	}
	return r.startCheck(now, upstream), false
}

// RecordUnstatedEnd records a response that ended with its connection, as it also does if its upstream
// process crashes: it counts as lost if the process is known to have terminated within lossWindow, and as
// a response once ConfirmResponse was called, after ConfirmAfter. It reports whether it was added to a
// known crash, which peers must receive.
func (r *Registry) RecordUnstatedEnd(now time.Time, upstream string, q Request, started bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, _ = r.recordLoss(upstream, loss{request: q, started: started, ended: true, at: now})
	return changed
}

// ConfirmAfter is the time after which a response without a stated end is confirmed.
const ConfirmAfter = lossWindow

// ConfirmResponse records a response without a stated end as complete unless its upstream process is known to have
// terminated within lossWindow of its end. Ended is when the response ended, ConfirmAfter ago, and began when it
// began. ConfirmResponse reports whether this clears the request or its segments, which peers must receive.
func (r *Registry) ConfirmResponse(now, ended time.Time, upstream string, q Request, began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(ended) >= 2*ConfirmAfter {
		return false // this process was paused, and the upstream may have been replaced since
	}
	if c := r.crashes[upstream]; c != nil && c.at.Sub(ended).Abs() <= lossWindow {
		return false
	}
	return r.recordResponse(now, q, began)
}

// TrackUnstatedEnd records a response without a stated end now, and confirms it after ConfirmAfter. Began is
// when it began, or zero if it says nothing about the prompt's segments. Where the response would clear the request
// or a segment, it is confirmed only if isAlive reports that the upstream process still runs: that no crash is known
// doesn't show it. IsAlive may block. TrackUnstatedEnd calls onChange after each change that peers must receive.
func (r *Registry) TrackUnstatedEnd(upstream string, q Request, began time.Time, started bool, isAlive func() bool, onChange func()) {
	ended := time.Now()
	if r.RecordUnstatedEnd(ended, upstream, q, started) {
		onChange()
	}
	time.AfterFunc(ConfirmAfter, func() {
		if r.isAnySuspected(q, began) && !isAlive() {
			return
		}
		if r.ConfirmResponse(time.Now(), ended, upstream, q, began) {
			onChange()
		}
	})
}

// isAnySuspected reports whether a request is suspected, or a segment of its prompt because of a crash before the
// given time.
func (r *Registry) isAnySuspected(q Request, before time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isSuspected(q.Key) || slices.ContainsFunc(q.Segments, func(id uint64) bool { return r.isSegmentSuspected(id, before) })
}

// NeedsDiagnosis reports whether an upstream to which no connection could be opened must be diagnosed,
// since responses ended or were lost there within lossWindow.
func (r *Registry) NeedsDiagnosis(now time.Time, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	return len(r.losses[upstream]) > 0 && r.startCheck(now, upstream)
}

// recordLoss adds a loss to the crash of its upstream process, if that is known, and reports whether this
// changed the crash. Otherwise it keeps the loss for lossWindow. The caller holds the lock.
func (r *Registry) recordLoss(upstream string, lost loss) (changed, known bool) {
	now := lost.at
	lost.started = lost.started || r.responses.has(lost.request.Key)
	if c := r.crashes[upstream]; c != nil && now.Sub(c.at) < lossWindow {
		return r.suspect(now, c, lost.request, lost.started), true
	}
	r.dropExpired(now)
	recent := slices.DeleteFunc(r.losses[upstream], func(l loss) bool { return now.Sub(l.at) > lossWindow })
	r.losses[upstream] = append(recent, lost)
	if at, terminated := r.left[upstream]; terminated && !lost.ended {
		return r.recordLosses(now, upstream, at), true
	}
	return false, false
}

// startCheck reports whether a diagnosis of an upstream is due, and records that it starts. The caller
// holds the lock.
func (r *Registry) startCheck(now time.Time, upstream string) bool {
	if !r.checked[upstream].IsZero() {
		return false
	}
	r.checked[upstream] = now
	return true
}

// RecordCrash records that an upstream process has terminated. It reports whether this is a change
// that peers must receive: responses were lost in the crash.
func (r *Registry) RecordCrash(now time.Time, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	if len(r.losses[upstream]) == 0 {
		return false
	}
	return r.recordLosses(now, upstream, now)
}

// RecordLeavingTermination is RecordCrash for a process that was leaving: it also terminates in order, so that it has
// crashed only if a response breaks off there within lossWindow, before or after.
func (r *Registry) RecordLeavingTermination(now time.Time, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	brokeOff := func(l loss) bool { return !l.ended && now.Sub(l.at) <= lossWindow }
	if !slices.ContainsFunc(r.losses[upstream], brokeOff) {
		r.left[upstream] = now
		return false
	}
	return r.recordLosses(now, upstream, now)
}

// HasCrashed reports whether an upstream process is known to have terminated while requests were there, and not over
// lossWindow before a request was sent: that went to another process of the same name. Any instance may have noticed the
// crash.
func (r *Registry) HasCrashed(now, sent time.Time, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
	c := r.crashes[upstream]
	return c != nil && sent.Sub(c.lastAt) <= lossWindow
}

// recordLosses adds the responses lost at an upstream process to its crash, which it creates if it
// is unknown. The caller holds the lock.
func (r *Registry) recordLosses(now time.Time, upstream string, at time.Time) (changed bool) {
	c := r.crashes[upstream]
	if c == nil {
		c = r.addCrash(now, upstream, at)
		changed = true
	}
	if at.After(c.lastAt) {
		c.lastAt = at
	}
	lost := r.losses[upstream]
	delete(r.losses, upstream)
	for _, l := range lost {
		if at.Sub(l.at).Abs() <= lossWindow {
			changed = r.suspect(now, c, l.request, l.started) || changed
		}
	}
	r.log.Warn().Str("event", "upstream_crashed").Str("upstream", upstream).Int("lost_here", len(lost)).Str("suspects", suspectNames(c.suspects)).Msg("upstream process terminated; requests that were there are suspects")
	return changed
}

// addCrash adds an unknown crash, and drops the oldest one if there are too many. The caller holds
// the lock.
func (r *Registry) addCrash(now time.Time, upstream string, at time.Time) *crash {
	if len(r.crashes) >= maxCrashes {
		delete(r.crashes, r.oldestCrash())
	}
	c := &crash{at: at, lastAt: at, lastChanged: now, suspects: map[Key]suspect{}}
	r.crashes[upstream] = c
	return c
}

// suspect adds a request to the suspects of a crash, and reports whether that is a change. The
// caller holds the lock.
func (r *Registry) suspect(now time.Time, c *crash, q Request, started bool) bool {
	k := q.Key
	previous, known := c.suspects[k]
	switch {
	case known && (previous.suspicion == unanswered || started):
		return false
	case !known && r.cleared[k].at.After(c.at):
		return false
	case !known && len(c.suspects) >= maxSuspects:
		return false
	case !r.isQuarantined(q) && (r.hasSegmentCause(c) || len(q.Segments) == 0 && r.hasCause(c)):
		return false
	}
	segments := slices.DeleteFunc(slices.Clone(q.Segments), func(id uint64) bool {
		return r.cleared[segmentKey(q.Organisation, id)].at.After(c.at)
	})
	c.suspects[k] = suspect{suspicion: suspicionOf(started), segments: segments}
	c.lastChanged = now
	r.extend(q, c)
	r.verdictDue, r.nextVerdict = now.Add(settleTime), r.lastVerdict.Add(r.restBetweenVerdicts())
	r.suspectedSegments = nil
	return true
}

// RecordResponse records that an upstream has answered a request, with any response: the upstream
// survived it. It reports whether this is a change that peers must receive: the request was
// suspected. It says nothing about the segments of the prompt.
func (r *Registry) RecordResponse(now time.Time, q Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordResponse(now, q, time.Time{})
}

// RecordCompletion is like RecordResponse for a complete and successful response that began at a time: the
// upstream has answered each segment of the prompt.
func (r *Registry) RecordCompletion(now time.Time, q Request, began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordResponse(now, q, began)
}

// recordResponse records a response, and the segments that it clears unless began is zero. The caller holds
// the lock.
func (r *Registry) recordResponse(now time.Time, q Request, began time.Time) (changed bool) {
	r.responses.add(now, q.Key)
	if r.isSuspected(q.Key) {
		r.clear(q.Key, clearing{at: now, learned: now, count: r.cleared[q.Key].count + 1})
		changed = true
	}
	if began.IsZero() {
		return changed
	}
	for _, id := range q.Segments {
		k := segmentKey(q.Organisation, id)
		r.segmentResponses.add(now, segmentKey("", id))
		if r.isSegmentSuspected(id, began) && began.After(r.cleared[k].at) {
			r.clear(k, clearing{at: began, learned: now, count: r.cleared[k].count + 1})
			changed = true
		}
	}
	return changed
}

// clear drops the evidence against a request or segment up to the time of a clearing. The caller holds the
// lock.
func (r *Registry) clear(k Key, by clearing) {
	r.cleared[k] = by
	dropOldest(r.cleared, maxCleared, func(c clearing) time.Time { return c.at })
	r.suspectedSegments = nil
	if k.Kind == Segment {
		r.clearSegment(k, by)
		return
	}
	for _, c := range r.crashes {
		if c.at.Before(by.at) {
			delete(c.suspects, k)
		}
	}
	if p, ok := r.quarantined[k]; ok && p.clearings < by.count {
		delete(r.quarantined, k)
		r.log.Info().Str("event", "request_cleared").Str("key", k.String()).Str("organisation", k.Organisation).Msg("suspected request was answered; its quarantine ends")
	}
}

func (r *Registry) isSuspected(k Key) bool {
	if _, ok := r.quarantined[k]; ok {
		return true
	}
	for _, c := range r.crashes {
		if _, suspected := c.suspects[k]; suspected {
			return true
		}
	}
	return false
}
