package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/internal/cacheevents"
)

// maxEvents bounds the events that are kept. A reader that is further behind sees a gap.
const maxEvents = 256

// eventLog keeps the latest cache events. Safe for concurrent use.
type eventLog struct {
	mu      sync.Mutex
	last    int64
	events  []cacheevents.Event
	changed chan struct{} // closed and replaced at each event
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (l *eventLog) add(added, dropped []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	l.events = append(l.events, cacheevents.Event{Number: l.last, Added: added, Dropped: dropped})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the events with a number above after, and a channel that is closed at the next event.
func (l *eventLog) since(after int64) (cacheevents.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := cacheevents.Batch{Last: l.last}
	for _, e := range l.events {
		if e.Number > after {
			b.Events = append(b.Events, e)
		}
	}
	return b, l.changed
}

// ServeHTTP serves GET /v1/cache-events. Without a new event it blocks for up to the given wait.
func (l *eventLog) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	after, _ := strconv.ParseInt(h.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(h.URL.Query().Get("wait"))
	timeout := time.NewTimer(time.Duration(wait) * time.Second)
	defer timeout.Stop()
	for {
		b, changed := l.since(after)
		if b.Last == after {
			select {
			case <-changed:
				continue
			case <-timeout.C:
			case <-h.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.MarshalWrite(w, b)
		return
	}
}
