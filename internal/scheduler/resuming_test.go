package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// twoVersions returns a core with an upstream of one slot for each of two versions.
func twoVersions() *Core {
	core := newCore(100)
	core.SetMembers([]Member{{Address: "a", Version: "v1", Slots: 1}, {Address: "b", Version: "v2", Slots: 1}})
	return core
}

func resuming(rank int, version string) *Request {
	r := newRequest(rank, 9)
	r.VersionConstraint = VersionConstraint{Restricted: true, Version: version}
	return r
}

// A resumed stream must run at its version only, also where that leaves the upstream that failed, or none.
func TestVersionConstraintIsEnforced(t *testing.T) {
	for name, c := range map[string]struct {
		version, failed string
		want            string
	}{
		"first version":                    {"v1", "", "a"},
		"second version":                   {"v2", "", "b"},
		"the other one failed":             {"v2", "a", "b"},
		"only the failed one has it":       {"v1", "a", "a"},
		"no upstream has it":               {"v3", "", ""},
		"an unknown version is no version": {"", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := twoVersions()
			r := resuming(0, c.version)
			r.FailedUpstream = c.failed
			d := core.Submit(start, r)
			if c.want == "" {
				is.Equal(d.Sheds[0].Problem.Reason, api.ReasonNoUpstream)
				return
			}
			is.Equal(d.Grants[0].Upstream.ID, c.want)
		})
	}
}

// Streams that wait for one version must not hold up those of another one, or new requests, however many
// they are.
func TestResumingRequestsHoldUpNoOthers(t *testing.T) {
	is := is.New(t)
	core := twoVersions()
	first := core.Submit(start, resuming(0, "v1")).Grants[0]
	for range 3 * lookahead {
		is.Equal(len(core.Submit(start, resuming(0, "v1")).Grants), 0)
	}
	second := core.Submit(start, resuming(0, "v2")).Grants[0]
	is.Equal(second.Upstream.ID, "b")
	d := core.End(start, second, Completed, 1)
	is.Equal(len(d.Grants), 0)
	d = core.Submit(start, newRequest(1, 9))
	is.Equal(d.Grants[0].Upstream.ID, "b") // a new one, of a lower rank
	is.Equal(core.End(start, first, Completed, 1).Grants[0].Upstream.ID, "a")
}

// A resumed stream goes before new requests of its rank, which other versions can serve, and after those of
// more important ranks.
func TestResumingRequestsGoBeforeNewOnesOfTheirRank(t *testing.T) {
	is := is.New(t)
	core := twoVersions()
	running := fillUpstreams(core)
	for range 2 {
		core.Submit(start, newRequest(1, 9))
	}
	resumed := resuming(1, "v1")
	core.Submit(start, resumed)
	urgent := newRequest(0, 9)
	core.Submit(start, urgent)
	var order []*Request
	for range 3 {
		for i, g := range running {
			if g.Upstream.ID != "a" {
				continue
			}
			d := core.End(start, g, Completed, 1)
			order = append(order, d.Grants[0].Request)
			running[i] = d.Grants[0]
			break
		}
	}
	at := func(r *Request) int {
		for i, other := range order {
			if other == r {
				return i
			}
		}
		return len(order)
	}
	is.True(at(urgent) < at(resumed))
	is.True(at(resumed) < len(order))
	for i, r := range order {
		is.True(r.Rank == 0 || r == resumed || i > at(resumed))
	}
}

// A resumed stream whose version has no capacity in time is refused alone: no request of a lower rank waits
// for the same upstreams only.
func TestExpiredResumingRequestShedsNoOthers(t *testing.T) {
	is := is.New(t)
	core := twoVersions()
	fillUpstreams(core)
	core.Submit(start, newRequest(2, 9))
	resumed := resuming(0, "v1")
	resumed.MaxWait = time.Second
	core.Submit(start, resumed)
	expiry, waiting := core.NextExpiry()
	is.True(waiting)
	is.Equal(expiry, start.Add(time.Second))
	d := core.Poll(start.Add(1100 * time.Millisecond))
	is.Equal(len(d.Sheds), 1)
	is.Equal(d.Sheds[0].Request, resumed)
	is.Equal(core.Queued(3)[2], 1)
}

func TestCancelledResumingRequestIsForgotten(t *testing.T) {
	is := is.New(t)
	core := twoVersions()
	running := core.Submit(start, resuming(0, "v1")).Grants[0]
	waiting := resuming(0, "v1")
	core.Submit(start, waiting)
	is.Equal(core.Queued(1)[0], 1)
	is.True(core.Cancel(waiting))
	is.True(!core.Cancel(waiting))
	is.Equal(core.Queued(1)[0], 0)
	is.Equal(len(core.End(start, running, Completed, 1).Grants), 0)
}

// Resumed streams are bounded as others are, in requests and bytes.
func TestResumingRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	core := twoVersions()
	core.Submit(start, resuming(0, "v1"))
	var refused int
	for range 30 {
		refused += len(core.Submit(start, resuming(0, "v1")).Sheds)
	}
	is.Equal(refused, 5) // of 100 items a quarter
	large := resuming(0, "v2")
	core.Submit(start, resuming(0, "v2"))
	large.Bytes = 1 << 20
	is.Equal(core.Submit(start, large).Sheds[0].Problem.Reason, api.ReasonQueueFull)
}
