package proxy

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strconv"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/membudget"
	"github.com/tacktally/tacktally/internal/sse"
)

// Errors of runs whose events can't be placed in the stream that the caller has. Such a run ends as broken, so that
// the stream can be resumed elsewhere, or by its caller.
var (
	// errMisplaced is wrapped by the others.
	errMisplaced = fmt.Errorf("%w: events can't be placed in the stream", exchange.ErrInvalidResponse)
	// errNotIncreasing means that a run has an event whose ID isn't above the one before it.
	errNotIncreasing = fmt.Errorf("%w: their IDs don't increase", errMisplaced)
	// errGap means that a resumed run goes on too late.
	errGap = fmt.Errorf("%w: a resumed run goes on too late", errMisplaced)
	// errEndsEarly means that a resumed run ended before the last event that the caller has.
	errEndsEarly = fmt.Errorf("%w: a resumed run ends too early", errMisplaced)
	// errHeldTooLarge means that a resumed run begins with too many bytes without an event ID.
	errHeldTooLarge = fmt.Errorf("%w: a resumed run begins with over %d bytes without the ID of an event", errMisplaced, maxEventBytes)
)

// streamPosition is what the caller has of a stream, over all attempts of its request. An attempt brings a run
// of the stream.
type streamPosition struct {
	// resumable reports whether a run may go on after lastID. Where it may not, no event is left out because of it.
	resumable bool
	// lastID is the ID of the last event that the caller has, by its request or since relayed; empty if it
	// has none. Last is its number, if it is one.
	lastID   string
	last     int64
	numbered bool
	// unplaced reports whether events with data and without an ID were relayed after lastID. A run that goes on
	// after lastID may repeat them.
	unplaced bool
	// step is the difference between the IDs of consecutive events; irregular if it isn't always the same, 0 if it
	// isn't known.
	step int64
	// skipped counts events that weren't relayed since the caller has them, unnumbered those that were
	// relayed with data and without an ID.
	skipped, unnumbered int
	run                 streamRun
	// memory is what held events take their memory from; nil without a bound.
	memory *membudget.Budget
}

// irregular is the step of a stream whose IDs have no constant difference.
const irregular = -1

// streamRun is what the last attempt has brought of a stream.
type streamRun struct {
	// resumed reports whether the caller had events of the stream when the run began.
	resumed bool
	// joined reports whether an event that the caller didn't have was relayed from a resumed run.
	joined bool
	// numbered reports whether an event with an ID has come; first and last are the IDs of the first and the last one.
	numbered    bool
	first, last int64
	// held are the events with data and without an ID that came before the first one with an ID. That one tells
	// whether the caller has them.
	held   membudget.Buffer
	recent recentEvents
}

// newStreamPosition returns the position of a caller that has the events up to lastEventID; none if it is empty.
func newStreamPosition(resumable bool, lastEventID string) streamPosition {
	p := streamPosition{resumable: resumable, lastID: lastEventID}
	if last, err := strconv.ParseInt(lastEventID, 10, 64); err == nil && resumable {
		p.last, p.numbered = last, true
	}
	return p
}

// beginRun is called when an attempt begins.
func (p *streamPosition) beginRun() {
	p.release()
	p.run = streamRun{resumed: p.numbered, held: membudget.Buffer{Budget: p.memory}}
}

// release gives back the memory of held events.
func (p *streamPosition) release() { p.run.held.Release() }

// mayResume reports whether another run may go on after the last event that the caller has.
func (p *streamPosition) mayResume() bool { return p.lastID != "" && !p.unplaced }

// mayBeComplete reports whether a run without an event can be complete: one that goes on after the caller's last event.
func (p *streamPosition) mayBeComplete() bool { return p.resumable && p.lastID != "" }

// place returns what of the current run is to be relayed when an event has come: nothing if the caller has it
// already, or if what comes next decides that. The bytes are valid until the next call.
func (p *streamPosition) place(event []byte) ([]byte, error) {
	if id, ok := sse.ID(event); ok {
		return p.placeNumbered(id, event)
	}
	switch {
	case !sse.HasData(event):
		return event, nil
	case p.run.resumed && !p.run.numbered:
		if p.run.held.Len()+len(event) > maxEventBytes {
			return nil, errHeldTooLarge
		}
		return nil, outOfMemory(p.run.held.Append(event))
	case p.run.resumed && p.run.last < p.last:
		p.skipped++
		return nil, nil
	default:
		p.unnumbered++
		p.unplaced = true
		return event, nil
	}
}

// lacks reports whether an event, which may be cut off, shows that the caller doesn't have the whole stream.
func (p *streamPosition) lacks(event []byte) bool {
	id, numbered := sse.ID(event)
	return numbered && id > p.last && sse.HasData(event)
}

func (p *streamPosition) placeNumbered(id int64, event []byte) ([]byte, error) {
	run := &p.run
	if run.numbered {
		run.held.Release() // relayed before
	}
	if run.numbered && id <= run.last {
		if sse.HasData(event) && !run.recent.has(id, event) {
			return nil, errNotIncreasing
		}
		p.skipped++
		return nil, nil
	}
	run.recent.add(id, event)
	previous, follows := run.last, run.numbered
	run.last = id
	if !run.numbered {
		run.numbered, run.first = true, id
	}
	switch {
	case run.resumed && id <= p.last:
		run.held.Release()
		p.skipped++
		return nil, nil
	case run.resumed && !run.joined:
		if p.step > 0 && id > p.last+p.step {
			return nil, errGap
		}
		run.joined = true
	case follows:
		p.observeStep(id - previous)
	}
	if run.held.Len() > 0 {
		if err := run.held.Append(event); err != nil {
			return nil, outOfMemory(err)
		}
		event = run.held.Bytes()
	}
	p.last, p.numbered, p.lastID, p.unplaced = id, true, strconv.FormatInt(id, 10), false
	return event, nil
}

// observeStep records the difference between the IDs of two consecutive events of a run.
func (p *streamPosition) observeStep(step int64) {
	switch p.step {
	case 0, step:
		p.step = step
	default:
		p.step = irregular
	}
}

// endRun returns what is to be relayed at the end of a run that is complete. The bytes are valid until release.
func (p *streamPosition) endRun() ([]byte, error) {
	if p.run.resumed && p.run.numbered && p.run.last < p.last {
		return nil, errEndsEarly
	}
	if p.run.numbered || p.run.held.Len() == 0 {
		return nil, nil // what was held has been relayed
	}
	p.unplaced = true
	return p.run.held.Bytes(), nil
}

// recentEvents are the last numbered events of a run, by their checksums.
type recentEvents struct {
	events [32]eventChecksum
	next   int
}

type eventChecksum struct {
	id       int64
	checksum uint64
}

var checksumSeed = maphash.MakeSeed()

func (r *recentEvents) add(id int64, event []byte) {
	r.events[r.next%len(r.events)] = eventChecksum{id: id, checksum: maphash.Bytes(checksumSeed, event)}
	r.next++
}

// has reports whether the same event, byte for byte, is among the recent ones.
func (r *recentEvents) has(id int64, event []byte) bool {
	checksum := maphash.Bytes(checksumSeed, event)
	return slices.Contains(r.events[:min(r.next, len(r.events))], eventChecksum{id: id, checksum: checksum})
}
