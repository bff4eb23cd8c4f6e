// Package platform is a small fake of the platform's configuration service and instance list, for the
// demo and the tests. Package internal/platform describes the protocol.
package platform

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/tacktally/tacktally/internal/platform"
)

// Service serves one configuration document, its parts and one instance list. Safe for concurrent use.
type Service struct {
	mu         sync.Mutex
	down       bool
	config     value
	list       value
	parts      map[string][]byte // by key
	changed    chan struct{}     // closed and replaced at each change
	calls      int
	frozenList *value // served in place of list once set
	listDown   bool   // calls for the list fail
}

type value struct {
	revision int64
	content  []byte
}

// New returns a service without a document and a list.
func New() *Service { return &Service{changed: make(chan struct{}), parts: map[string][]byte{}} }

// update runs f with the lock held, and wakes all calls that wait for a change.
func (s *Service) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Publish publishes a document under a revision, which may be lower than the previous one.
func (s *Service) Publish(revision int64, content []byte) {
	s.update(func() { s.config = value{revision, content} })
}

// PublishPart publishes a part of the configuration under its own key.
func (s *Service) PublishPart(key string, content []byte) {
	s.update(func() { s.parts[key] = content })
}

// SetInstances publishes the instance list under the next version.
func (s *Service) SetInstances(list []platform.Instance) {
	content, err := json.Marshal(list)
	if err != nil {
		panic("standin: encode the instance list: " + err.Error())
	}
	s.update(func() { s.list = value{s.list.revision + 1, content} })
}

// SetDown sets whether every call fails, including those that wait.
func (s *Service) SetDown(down bool) { s.update(func() { s.down = down }) }

// SetListDown sets whether every call for the instance list fails, including those that wait.
func (s *Service) SetListDown(down bool) { s.update(func() { s.listDown = down }) }

// FreezeList makes the service keep serving the current list, whatever SetInstances publishes later.
func (s *Service) FreezeList() {
	s.update(func() {
		frozen := s.list
		s.frozenList = &frozen
	})
}

// Calls returns the number of calls so far.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if part := s.part(h.URL.Path); part != nil {
		writeValue(w, value{1, part})
		return
	}
	after, _ := strconv.ParseInt(h.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(h.URL.Query().Get("wait"))
	timeout := time.NewTimer(time.Duration(wait) * time.Second)
	defer timeout.Stop()
	for {
		v, down, changed := s.current(h.URL.Path == "/v1/instances")
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case v.revision != after || wait == 0:
			writeValue(w, v)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-h.Context().Done():
			return
		}
	}
}

// part returns the part at a path, or nil.
func (s *Service) part(path string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil
	}
	return s.parts[strings.TrimPrefix(path, "/v1/config/")]
}

// current returns the current list or document, whether the service is down, and a channel that is
// closed at the next change.
func (s *Service) current(list bool) (v value, down bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v = s.config
	if list {
		v = s.list
		if s.frozenList != nil {
			v = *s.frozenList
		}
	}
	return v, s.down || (list && s.listDown), s.changed
}

// writeValue writes a value with its revision, or 404 if none was published.
func writeValue(w http.ResponseWriter, v value) {
	if v.revision == 0 {
		http.Error(w, "nothing published", http.StatusNotFound)
		return
	}
	w.Header().Set(platform.HeaderRevision, strconv.FormatInt(v.revision, 10))
	_, _ = w.Write(v.content)
}
