// Package watch keeps a log of the changes to resources between accepted snapshots.
// Watchers follow the log from a revision on.
package watch

import (
	"context"
	"errors"
	"reflect"
	"sync"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/config"
)

// maxEvents is the maximum number of changes in the log.
const maxEvents = 4096

// ErrTooOld is returned for a revision after which not all changes are in the log. List
// the resources again and watch from the revision of the list.
var ErrTooOld = errors.New("the revision is too old to watch from; list again and watch from the list's revision")

// Type is the type of a change.
type Type string

// Types of changes.
const (
	Added    Type = "added"
	Modified Type = "modified"
	Deleted  Type = "deleted"
)

// Event is a change of a resource.
type Event struct {
	Type     Type           `json:"type"`
	Revision int64          `json:"revision"`
	Kind     api.Kind       `json:"kind"`
	Name     string         `json:"name"`
	Object   jsontext.Value `json:"object,omitzero"`
}

// Log holds the latest changes. Safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	current  map[resourceKey]any // resources as declared
	revision int64
	oldest   int64 // all changes after this revision are in events
	events   []Event
	changed  chan struct{}
}

type resourceKey struct {
	kind api.Kind
	name string
}

// NewLog returns an empty Log.
func NewLog() *Log { return &Log{current: map[resourceKey]any{}, changed: make(chan struct{})} }

// Add adds the changes from the previous snapshot to an accepted one, and wakes the watchers. It
// ignores a snapshot that is not newer.
func (l *Log) Add(s *config.Snapshot) {
	next := flatten(s.Document)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Revision <= l.revision {
		return
	}
	if l.revision == 0 {
		l.oldest = s.Revision // earlier changes are unknown
	} else {
		l.events = append(l.events, diff(l.current, next, s.Revision)...)
	}
	l.trim()
	l.current = next
	l.revision = s.Revision
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) trim() {
	if excess := len(l.events) - maxEvents; excess > 0 {
		l.oldest = l.events[excess-1].Revision
		l.events = append([]Event(nil), l.events[excess:]...)
	}
}

// Next returns the changes of a kind after a revision, and the current revision. It blocks
// until there is a later revision or ctx is done. An empty kind selects all kinds.
func (l *Log) Next(ctx context.Context, kind api.Kind, after int64) ([]Event, int64, error) {
	for {
		l.mu.Lock()
		if after < l.oldest {
			l.mu.Unlock()
			return nil, 0, ErrTooOld
		}
		if after < l.revision {
			defer l.mu.Unlock()
			return l.since(kind, after), l.revision, nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (l *Log) since(kind api.Kind, after int64) []Event {
	var out []Event
	for _, e := range l.events {
		if e.Revision > after && (kind == "" || e.Kind == kind) {
			out = append(out, e)
		}
	}
	return out
}

func diff(old, next map[resourceKey]any, revision int64) []Event {
	var out []Event
	for key, resource := range next {
		previous, existed := old[key]
		switch {
		case !existed:
			out = append(out, Event{Type: Added, Revision: revision, Kind: key.kind, Name: key.name, Object: encode(resource)})
		case !reflect.DeepEqual(previous, resource):
			out = append(out, Event{Type: Modified, Revision: revision, Kind: key.kind, Name: key.name, Object: encode(resource)})
		}
	}
	for key := range old {
		if _, still := next[key]; !still {
			out = append(out, Event{Type: Deleted, Revision: revision, Kind: key.kind, Name: key.name})
		}
	}
	return out
}

// flatten returns pointers to all resources of a document, by kind and name.
func flatten(d *api.Document) map[resourceKey]any {
	out := make(map[resourceKey]any, len(d.Organisations)+len(d.Tiers)+len(d.EngineSets)+len(d.Services))
	for i := range d.Organisations {
		out[resourceKey{api.KindOrganisation, d.Organisations[i].Metadata.Name}] = &d.Organisations[i]
	}
	for i := range d.Tiers {
		out[resourceKey{api.KindTier, d.Tiers[i].Metadata.Name}] = &d.Tiers[i]
	}
	for i := range d.EngineSets {
		out[resourceKey{api.KindEngineSet, d.EngineSets[i].Metadata.Name}] = &d.EngineSets[i]
	}
	for i := range d.Services {
		out[resourceKey{api.KindService, d.Services[i].Metadata.Name}] = &d.Services[i]
	}
	return out
}

// redactedDigits is the number of digits of a key's hash that are shown, which is enough to
// distinguish keys.
const redactedDigits = 8

// Redact returns a copy of an organisation for display, with the hashes of its API keys shortened.
func Redact(o api.Organisation) api.Organisation {
	hashes := make([]string, len(o.Spec.APIKeyHashes))
	for i, h := range o.Spec.APIKeyHashes {
		hashes[i] = h[:min(redactedDigits, len(h))] + "…"
	}
	o.Spec.APIKeyHashes = hashes
	return o
}

func encode(v any) jsontext.Value {
	if o, ok := v.(*api.Organisation); ok {
		v = Redact(*o)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic("watch: a resource always encodes: " + err.Error())
	}
	return b
}
