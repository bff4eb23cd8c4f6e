package scheduler

import "time"

// LongPrefill is the reading time of a prompt from which on other instances are told
// at once, so that they send nothing urgent behind it.
const LongPrefill = 100 * time.Millisecond

// HasLongPrefill tells whether a grant's prompt takes so long to read that the other
// instances should know at once.
func (c *Core) HasLongPrefill(g *Grant) bool {
	return g.Upstream.Speed.PredictFirstToken(g.uncached) >= LongPrefill
}

// Pending returns the prompt tokens that this instance has sent to each upstream
// and that aren't read yet. Upstreams without any are left out.
func (c *Core) Pending() map[string]int {
	out := map[string]int{}
	for _, u := range c.upstreams {
		if u.PendingTokens > 0 {
			out[u.ID] = u.PendingTokens
		}
	}
	return out
}

// ApplyCacheEvent takes an engine's word on its cache, which comes late and with gaps.
func (c *Core) ApplyCacheEvent(address string, added, dropped []uint64) {
	for _, u := range c.upstreams {
		if u.ID == address && u.PrefixIndex != nil {
			u.PrefixIndex.Add(added)
			u.PrefixIndex.Drop(dropped)
		}
	}
}

// ClearCache forgets what an engine's cache held, after its restart.
func (c *Core) ClearCache(address string) {
	for _, u := range c.upstreams {
		if u.ID == address && u.PrefixIndex != nil {
			u.PrefixIndex.Clear()
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

// SetInstanceLoad takes what another instance has told of its load; the zero Load forgets
// the instance.
func (c *Core) SetInstanceLoad(instance string, l Load) {
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
			u.PendingElsewhere += times * n
		}
	}
	for id, n := range l.Running {
		if u := c.byID[id]; u != nil {
			u.RunningElsewhere += times * n
		}
	}
}

// countOthers counts anew what all other instances have told.
func (c *Core) countOthers() {
	for _, u := range c.upstreams {
		u.PendingElsewhere = 0
		u.RunningElsewhere = 0
	}
	for _, l := range c.others {
		c.countOther(l, 1)
	}
}
