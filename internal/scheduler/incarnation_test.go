package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/queue"
)

// An upstream that restarts under its ID is a new process: requests granted to the old process do
// not occupy its slots, and what was learned of the old process is dropped.
func TestRestartedUpstreamStartsWithFreshState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Options{Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20}, Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, PrefixIndexBlocks: 16})
	c.SetMembers([]Member{{ID: "i-1", Address: "10.0.0.1:80", Slots: 1, Incarnation: 1}})
	old := c.Submit(now, &Request{Arrived: now, Deadline: now.Add(time.Minute), PromptTokens: 10, PrefixHashes: []uint64{7}}).Grants
	is.Equal(len(old), 1)
	is.Equal(len(c.Submit(now, &Request{Arrived: now, Deadline: now.Add(time.Minute)}).Grants), 0) // its slot is taken

	c.SetMembers([]Member{{ID: "i-1", Address: "10.0.0.1:80", Slots: 1, Incarnation: 2}})
	fresh := c.Poll(now).Grants
	is.Equal(len(fresh), 1) // the one that waited
	is.True(fresh[0].Upstream != old[0].Upstream)
	is.True(old[0].Upstream.Leaving)

	c.End(now, old[0], Cancelled, 0)
	is.Equal(fresh[0].Upstream.Running, 1) // the end of the old request frees no slot of the new process

	c.SetMembers([]Member{{ID: "i-1", Address: "10.0.0.1:80", Slots: 1, Incarnation: 2, Leaving: true}})
	is.True(c.Upstreams()[0] == fresh[0].Upstream) // the same process
}
