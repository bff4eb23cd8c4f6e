package proxy

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strconv"

	"github.com/tacktally/tacktally/internal/exchange"
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
	// step is the difference between the IDs of consecutive events; irregular if it isn't always the same, 0 if it
	// isn't known.
	step int64
	// skipped counts events that weren't relayed since the caller has them, unnumbered those that were
	// relayed without an ID.
	skipped, unnumbered int
	run                 streamRun
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
	recent      recentEvents
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
func (p *streamPosition) beginRun() { p.run = streamRun{resumed: p.numbered} }

// mayResume reports whether another run may go on after the last event that the caller has.
func (p *streamPosition) mayResume() bool { return p.lastID != "" }

// mayBeComplete reports whether a run without an event can be complete: one that goes on after the caller's last event.
func (p *streamPosition) mayBeComplete() bool { return p.resumable && p.lastID != "" }

// place returns what of the current run is to be relayed when an event has come: nothing if the caller has it
// already.
func (p *streamPosition) place(event []byte) ([]byte, error) {
	id, numbered := sse.ID(event)
	if !numbered {
		p.unnumbered++
		return event, nil
	}
	run := &p.run
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
	p.last, p.numbered, p.lastID = id, true, strconv.FormatInt(id, 10)
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
