package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/view"
)

// using counts how many of so many instances use each of 60 upstreams.
func using(instances int) map[string]int {
	var addresses []string
	for i := range instances {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	var list []view.Upstream
	for i := range 60 {
		list = append(list, view.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: "127.0.0.1:1", Slots: 9})
	}
	out := map[string]int{}
	for _, a := range addresses {
		f := NewFleet(FleetOptions{Instance: a, Limits: queue.Limits{MaxItems: 1}, Metrics: telemetry.NewMetrics()})
		f.SetUpstreams(list)
		f.SetInstances(append([]string(nil), addresses...))
		f.service("s").pool.View(func(core *scheduler.Core) {
			for _, u := range core.Upstreams() {
				out[u.ID]++
			}
		})
	}
	return out
}

// What many instances believe of one upstream's slots is a heartbeat old, so only a few
// may share it; but none may be left out.
func TestFewInstancesOfALargeFleetShareAnUpstream(t *testing.T) {
	is := is.New(t)
	shared := using(63)
	is.Equal(len(shared), 60)
	for _, n := range shared {
		is.True(n >= 3 && n <= 12)
	}
}

func TestEachInstanceOfASmallFleetUsesAllUpstreams(t *testing.T) {
	is := is.New(t)
	for _, n := range using(7) {
		is.Equal(n, 7)
	}
}

// After a start an instance doesn't know yet with how many it shares the budget.
func TestAStartBringsNoRepeatsOfItsOwn(t *testing.T) {
	is := is.New(t)
	f := NewFleet(FleetOptions{
		Instance: "10.0.0.1:1", Limits: queue.Limits{MaxItems: 1}, Metrics: telemetry.NewMetrics(),
		Repeats: retrybudget.Slack{Share: 0.2, Extra: 60, Window: time.Hour},
	})
	is.True(!f.service("s").repeats.Withdraw())
}
