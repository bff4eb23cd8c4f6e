package proxy

import "sync"

// running counts the requests that are at upstreams now, by availability zone, so that operators see
// when a zone is empty. Safe for concurrent use.
type running struct {
	mu     sync.Mutex
	byZone map[string]int
}

// begin counts one until the function that it returns is called.
func (r *running) begin(zone string) (end func()) {
	r.add(zone, 1)
	return func() { r.add(zone, -1) }
}

func (r *running) add(zone string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byZone == nil {
		r.byZone = map[string]int{}
	}
	r.byZone[zone] += n
	if r.byZone[zone] == 0 {
		delete(r.byZone, zone)
	}
}

// RunningInZone returns how many requests this instance has at upstreams of an availability zone.
func (h *Handler) RunningInZone(zone string) int {
	h.running.mu.Lock()
	defer h.running.mu.Unlock()
	return h.running.byZone[zone]
}
