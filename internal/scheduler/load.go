package scheduler

import "time"

// LongPrefill is the prefill time from which on a prompt is announced to the other instances
// immediately, so that they send nothing urgent behind it.
const LongPrefill = 100 * time.Millisecond

// HasLongPrefill reports whether the prefill of a grant's prompt takes LongPrefill or longer.
func (c *Core) HasLongPrefill(g *Grant) bool {
	return g.Upstream.Speed.PredictFirstToken(g.uncachedTokens) >= LongPrefill
}

// Pending returns the prompt tokens that this instance has sent to each upstream and whose prefill
// is not complete, by upstream ID. Upstreams without any are omitted.
func (c *Core) Pending() map[string]int {
	out := map[string]int{}
	for _, u := range c.upstreams {
		if u.PendingTokens > 0 {
			out[u.ID] = u.PendingTokens
		}
	}
	return out
}

// ApplyCacheEvent records blocks that an engine reports as added to or dropped from its cache.
// Events arrive late and some are lost.
func (c *Core) ApplyCacheEvent(id string, added, dropped []uint64) {
	for _, u := range c.upstreams {
		if u.ID == id && u.PrefixIndex != nil {
			u.PrefixIndex.Add(added)
			u.PrefixIndex.Drop(dropped)
		}
	}
}

// ClearCache drops the tracked cache contents of an engine that has restarted.
func (c *Core) ClearCache(id string) {
	for _, u := range c.upstreams {
		if u.ID == id && u.PrefixIndex != nil {
			u.PrefixIndex.Clear()
		}
	}
}

// Load is the work of one instance at the upstreams, by upstream ID.
type Load struct {
	// Pending prompt tokens, sent and not yet prefilled.
	Pending map[string]int
	// Running requests, sent and not ended.
	Running map[string]int
}

// Running returns the number of requests that this instance has granted and that have not ended.
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

// SetPeerLoad sets the load that another instance has reported; the zero Load removes the instance.
func (c *Core) SetPeerLoad(instance string, l Load) {
	c.addLoad(c.peerLoads[instance], -1)
	c.addLoad(l, 1)
	if len(l.Pending) == 0 && len(l.Running) == 0 {
		delete(c.peerLoads, instance)
		return
	}
	c.peerLoads[instance] = l
}

// addLoad adds the load of another instance, times the given factor, to the upstreams' totals.
func (c *Core) addLoad(l Load, times int) {
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

// recountLoads recomputes the upstreams' totals from the loads of all other instances.
func (c *Core) recountLoads() {
	for _, u := range c.upstreams {
		u.PendingElsewhere = 0
		u.RunningElsewhere = 0
	}
	for _, l := range c.peerLoads {
		c.addLoad(l, 1)
	}
}
