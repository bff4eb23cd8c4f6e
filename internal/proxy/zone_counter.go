package proxy

import "sync"

// zoneCounter counts the requests that are at upstreams now, by availability zone, so that
// operators see when a zone is empty. It is safe for concurrent use.
type zoneCounter struct {
	mu     sync.Mutex
	byZone map[string]int
}

// start counts a request until the returned function is called.
func (c *zoneCounter) start(zone string) (end func()) {
	c.add(zone, 1)
	return func() { c.add(zone, -1) }
}

func (c *zoneCounter) add(zone string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byZone == nil {
		c.byZone = map[string]int{}
	}
	c.byZone[zone] += n
	if c.byZone[zone] == 0 {
		delete(c.byZone, zone)
	}
}

// RunningInZone returns how many requests this instance has at upstreams of an availability zone.
func (h *Handler) RunningInZone(zone string) int {
	h.running.mu.Lock()
	defer h.running.mu.Unlock()
	return h.running.byZone[zone]
}
