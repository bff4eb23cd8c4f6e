package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/loadreport"
)

// A brittle upstream that refuses many requests in a second fails. Each second it may refuse a share of what
// it survives, and after a refusal it is granted no more than it held then.
func TestBrittleUpstreamIsGrantedWhatItHasRoomFor(t *testing.T) {
	now := time.Now()
	brittle := loadreport.Report{Slots: 8, Running: 4, Brittle: true, MaxRefusals: 4}
	for name, test := range map[string]struct {
		arrange func(u *Upstream)
		running int
		full    bool
	}{
		"not brittle, slots free":       {func(*Upstream) {}, 7, false},
		"not brittle, refusals":         {func(u *Upstream) { u.Running = 4; u.RecordRefusal(now) }, 7, false},
		"a slot stays free":             {func(u *Upstream) { u.Running = 8; u.ObserveLoad(now, brittle) }, 7, true},
		"below that":                    {func(u *Upstream) { u.Running = 8; u.ObserveLoad(now, brittle) }, 6, false},
		"it held four at a refusal":     {func(u *Upstream) { u.ObserveLoad(now, brittle); u.RecordRefusal(now); u.ObserveLoad(now, brittle) }, 4, true},
		"it holds fewer now":            {func(u *Upstream) { u.ObserveLoad(now, brittle); u.RecordRefusal(now) }, 3, false},
		"two responses raise the bound": {func(u *Upstream) { u.ObserveLoad(now, brittle); u.ObserveLoad(now, brittle) }, 4, false},
		"no longer brittle": {func(u *Upstream) {
			u.ObserveLoad(now, brittle)
			u.ObserveLoad(now, loadreport.Report{Slots: 8, Running: 4})
		}, 7, false},
		"without a report of its load":  {func(u *Upstream) { u.ObserveLoad(now, loadreport.Report{Brittle: true}) }, 4, true},
		"learned from another instance": {func(u *Upstream) { u.LearnBrittle(now, 4) }, 1, true},
		"learned, and known before":     {func(u *Upstream) { u.ObserveLoad(now, brittle); u.LearnBrittle(now, 4) }, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := &Upstream{Slots: 8, Running: 4, MaxBacklog: 2}
			test.arrange(u)
			u.Running = test.running
			is.New(t).Equal(u.IsFull(now), test.full)
		})
	}
}

// Requests that a brittle upstream holds but that this owner doesn't count take room too.
func TestBrittleUpstreamHoldsOtherRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := &Upstream{Slots: 8, Running: 2}
	for range 50 { // until the responses have shown more
		u.ObserveLoad(now, loadreport.Report{Slots: 8, Running: 5, Brittle: true, MaxRefusals: 4})
	}
	u.Running = 4
	is.True(u.IsFull(now)) // three others and a slot that stays free
	u.Running = 3
	is.True(!u.IsFull(now))
}

// Grants stop before the refusals of a second reach what the upstream survives.
func TestGrantsStopBeforeABrittleUpstreamFails(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := &Upstream{Slots: 8}
	u.ObserveLoad(now, loadreport.Report{Slots: 8, Brittle: true, MaxRefusals: 4})
	is.True(u.AllowsGrant(now))
	u.RecordRefusal(now)
	is.True(u.AllowsGrant(now))
	u.RecordRefusal(now)
	is.True(!u.AllowsGrant(now))
	is.True(u.AllowsGrant(now.Add(grantWindow)))
	u.ObserveLoad(now, loadreport.Report{Slots: 8, Brittle: true})
	is.True(!u.AllowsGrant(now)) // it survives none
	is.True(u.AllowsGrant(now.Add(brittleLifetime)))
}
