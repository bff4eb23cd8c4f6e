package proxy

import "sync"

// sendings counts the requests that are at upstreams now, by availability zone, so that operators see
// when a zone is empty. Safe for concurrent use.
type sendings struct {
	mu     sync.Mutex
	byZone map[string]int
}

// begin counts one until the function that it returns is called.
func (s *sendings) begin(zone string) (end func()) {
	s.add(zone, 1)
	return func() { s.add(zone, -1) }
}

func (s *sendings) add(zone string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byZone == nil {
		s.byZone = map[string]int{}
	}
	s.byZone[zone] += n
	if s.byZone[zone] == 0 {
		delete(s.byZone, zone)
	}
}

// RunningIn returns how many requests this instance has at upstreams of an availability zone.
func (h *Handler) RunningIn(zone string) int {
	h.sendings.mu.Lock()
	defer h.sendings.mu.Unlock()
	return h.sendings.byZone[zone]
}
