// Package watch turns accepted snapshots into a log of changes to resources,
// which watchers follow from a revision.
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

// maxEvents bounds the changes remembered.
const maxEvents = 4096

// ErrTooOld: changes since the revision are no longer all known. List again and
// watch from the revision of the list.
var ErrTooOld = errors.New("the revision is too old to watch from; list again and watch from the list's revision")

// Type of a change.
type Type string

// The types.
const (
	Added    Type = "added"
	Modified Type = "modified"
	Deleted  Type = "deleted"
)

// Event is one change of one resource.
type Event struct {
	Type     Type           `json:"type"`
	Revision int64          `json:"revision"`
	Kind     api.Kind       `json:"kind"`
	Name     string         `json:"name"`
	Object   jsontext.Value `json:"object,omitzero"`
}

// Log remembers the latest changes. Safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	current  map[resourceKey]any // resources as declared
	revision int64
	oldest   int64 // changes after this revision are all known
	events   []Event
	changed  chan struct{}
}

type resourceKey struct {
	kind api.Kind
	name string
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{current: map[resourceKey]any{}, changed: make(chan struct{})} }

// Add takes the next accepted snapshot.
func (l *Log) Add(s *config.Snapshot) {
	next := flatten(s.Document)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Revision <= l.revision {
		return
	}
	if l.revision == 0 {
		l.oldest = s.Revision // nothing is known of what was before
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

// Next returns the changes of a kind after a revision, and the revision they
// lead to. It blocks until there is a later revision or ctx ends. An empty kind
// stands for all.
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
		before, existed := old[key]
		switch {
		case !existed:
			out = append(out, Event{Type: Added, Revision: revision, Kind: key.kind, Name: key.name, Object: encode(resource)})
		case !reflect.DeepEqual(before, resource):
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

// flatten lists the resources by name. They point into the document.
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

// redactedDigits is how much of a key's hash is shown: enough to tell keys apart.
const redactedDigits = 8

// Redact shortens the hashes of an organisation's keys for showing.
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
