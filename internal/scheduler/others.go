package scheduler

import "time"

// LongRead is the reading time of a prompt from which on other instances are told
// at once, so that they send nothing urgent behind it.
const LongRead = 100 * time.Millisecond

// IsLong tells whether a grant's prompt takes so long to read that the other
// instances should know at once.
func (c *Core) IsLong(g *Grant) bool {
	return g.Upstream.Speed.FirstToken(g.uncached) >= LongRead
}

// Pending returns the prompt tokens that this instance has sent to each upstream
// and that aren't read yet. Upstreams without any are left out.
func (c *Core) Pending() map[string]int {
	out := map[string]int{}
	for _, u := range c.upstreams {
		if u.Pending > 0 {
			out[u.Address] = u.Pending
		}
	}
	return out
}

// CacheEvent takes an engine's word on its cache, which comes late and with gaps.
func (c *Core) CacheEvent(address string, added, dropped []uint64) {
	for _, u := range c.upstreams {
		if u.Address == address && u.Memory != nil {
			u.Memory.Add(added)
			u.Memory.Drop(dropped)
		}
	}
}

// CacheCleared forgets what an engine's cache held, after its restart.
func (c *Core) CacheCleared(address string) {
	for _, u := range c.upstreams {
		if u.Address == address && u.Memory != nil {
			u.Memory.Clear()
		}
	}
}

// SetOthers takes what another instance has told of its pending prompt tokens; a
// nil map forgets the instance.
func (c *Core) SetOthers(instance string, pending map[string]int) {
	if pending == nil {
		delete(c.others, instance)
	} else {
		c.others[instance] = pending
	}
	for _, u := range c.upstreams {
		u.OthersPending = 0
		for _, p := range c.others {
			u.OthersPending += p[u.Address]
		}
	}
}
