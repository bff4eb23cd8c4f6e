package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/tacktally/tacktally/internal/balancer"
	"github.com/tacktally/tacktally/internal/loadreport"
	"github.com/tacktally/tacktally/internal/queue"
)

// BenchmarkDecision grants one request and ends another, with half or nine in ten of the slots
// taken. In the second case long requests wait for which none of the free upstreams is suitable.
func BenchmarkDecision(b *testing.B) {
	for _, load := range []struct{ n, taken int }{{60, 5}, {60, 9}, {160, 5}, {160, 9}, {1000, 5}, {1000, 9}} {
		n := load.n
		b.Run(fmt.Sprintf("%d upstreams/%d in 10 taken", n, load.taken), func(b *testing.B) {
			c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 2000, MaxBytes: 1 << 30}})
			var members []Member
			for i := range n {
				members = append(members, Member{ID: fmt.Sprint(i), Zone: "bole", Slots: 10})
			}
			c.SetMembers(members)
			now := start
			request := func(rank int) *Request {
				return &Request{
					Rank: rank, Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(12 * time.Second), LatencyObjective: time.Second,
					MaxWait: 200 * time.Millisecond, AllowLate: true, PromptTokens: 700, MaxOutput: 2940, ExpectedOutput: 100 + 900*rank,
				}
			}
			var running []*Grant
			for i := range load.taken * n {
				running = append(running, c.Submit(now, request(i%3)).Grants...)
			}
			for _, g := range running {
				c.RecordFirstToken(now.Add(50*time.Millisecond), g)
			}
			at := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				d := c.End(now, running[at], Completed, 140)
				d.Grants = append(d.Grants, c.Submit(now, request(at%3)).Grants...)
				for _, g := range d.Grants {
					c.RecordFirstToken(now, g)
					running[at] = g
				}
				at = (at + 1) % len(running)
			}
		})
	}
}

// BenchmarkSaturated ends one request and submits another while all slots are taken and requests of three
// ranks wait, with and without requests that may wait at the upstreams.
func BenchmarkSaturated(b *testing.B) {
	const upstreams, slots, waiting = 112, 5, 60
	for _, backlog := range []int{0, 2} {
		b.Run(fmt.Sprintf("backlog %d", backlog), func(b *testing.B) {
			c := New(Options{Picker: &balancer.ObjectivePicker{Weights: balancer.DefaultObjectiveWeights}, Limits: queue.Limits{MaxItems: 2000, MaxBytes: 1 << 30}, MaxBacklog: backlog})
			var members []Member
			for i := range upstreams {
				members = append(members, Member{ID: fmt.Sprint(i), Zone: "bole", Slots: slots})
			}
			c.SetMembers(members)
			now := start
			var running []*Grant
			for _, u := range c.Upstreams() {
				u.ObserveHold(400 * time.Millisecond)
			}
			for i := range upstreams*(slots+backlog) + waiting {
				for _, u := range c.Upstreams() {
					u.ObserveLoad(now, loadreport.Report{Running: slots, Slots: slots, WorkPercent: 100})
				}
				running = append(running, c.Submit(now, saturatedRequest(now, i%3)).Grants...)
			}
			at := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				g := running[at] // the oldest
				c.RecordLoad(now, g, loadreport.Report{Running: slots, Slots: slots, WorkPercent: 100})
				c.RecordFirstToken(now, g)
				d := c.End(now, g, Completed, 140)
				d.Grants = append(d.Grants, c.Submit(now, saturatedRequest(now, at%3)).Grants...)
				running = append(running, d.Grants...)
				at++
			}
		})
	}
}

// saturatedRequest returns a stream that may wait for 200 ms.
func saturatedRequest(now time.Time, rank int) *Request {
	return &Request{
		Rank: rank, Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(12 * time.Second), LatencyObjective: time.Second,
		MaxWait: 200 * time.Millisecond, AllowLate: true, PromptTokens: 700, MaxOutput: 560, ExpectedOutput: 140,
	}
}
