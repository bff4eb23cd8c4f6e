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
			out[u.ID] = u.Pending
		}
	}
	return out
}

// CacheEvent takes an engine's word on its cache, which comes late and with gaps.
func (c *Core) CacheEvent(address string, added, dropped []uint64) {
	for _, u := range c.upstreams {
		if u.ID == address && u.Memory != nil {
			u.Memory.Add(added)
			u.Memory.Drop(dropped)
		}
	}
}

// CacheCleared forgets what an engine's cache held, after its restart.
func (c *Core) CacheCleared(address string) {
	for _, u := range c.upstreams {
		if u.ID == address && u.Memory != nil {
			u.Memory.Clear()
		}
	}
}

// Load is what an instance tells of its work at the upstreams, by their IDs.
type Load struct {
	// Pending prompt tokens sent and not read yet.
	Pending map[string]int
	// Running requests sent and not ended.
	Running map[string]int
}

// Running returns how many requests this instance has granted that haven't ended.
func (c *Core) Running() int { return c.running }

// Load returns this instance's work at each upstream that has any.
func (c *Core) Load() Load {
	l := Load{Pending: c.Pending(), Running: map[string]int{}}
	for _, u := range c.upstreams {
		if u.Running > 0 {
			l.Running[u.ID] = u.Running
		}
	}
	return l
}

// SetOthers takes what another instance has told of its load; the zero Load forgets
// the instance.
func (c *Core) SetOthers(instance string, l Load) {
	c.countOther(c.others[instance], -1)
	c.countOther(l, 1)
	if len(l.Pending) == 0 && len(l.Running) == 0 {
		delete(c.others, instance)
		return
	}
	c.others[instance] = l
}

// countOther adds the load of another instance to what upstreams run, so many times.
func (c *Core) countOther(l Load, times int) {
	for id, n := range l.Pending {
		if u := c.byID[id]; u != nil {
			u.OthersPending += times * n
		}
	}
	for id, n := range l.Running {
		if u := c.byID[id]; u != nil {
			u.OthersRunning += times * n
		}
	}
}

// countOthers counts anew what all other instances have told.
func (c *Core) countOthers() {
	for _, u := range c.upstreams {
		u.OthersPending = 0
		u.OthersRunning = 0
	}
	for _, l := range c.others {
		c.countOther(l, 1)
	}
}
