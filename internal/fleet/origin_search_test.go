package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// Guards against streams of two services: an instance that asked for a stream's origin was told its version only.
func TestServiceThatBeganAStreamIsFoundFromAllInstances(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		o.publish("b", "v2")
		began := o.list[0].Address
		o.instances[began].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		for _, f := range o.instances {
			service, version, known := f.FindOrigin(t.Context(), ResumedStream{Request: "r", Service: "t", Lifetime: originLifetime, OnlyService: never, ConfigAge: listOf(0), ListAge: listOf(0)})
			is.True(known)
			is.Equal(service, "s")
			is.Equal(version, "v1")
		}
	})
}

// The only version of a service is that of any stream, unless another one may have begun it: one that has
// left since, also before this instance started.
func TestOnlyVersionIsTheOrigin(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		is.Equal(o.find(t, "r"), map[string]bool{"": true}) // the whole fleet has just started
		is.Equal(o.find(t, ""), map[string]bool{"": true})
		wait.For(t.Context(), originLifetime)
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
		is.Equal(o.find(t, ""), map[string]bool{"v1": true})
		o.publish("b", "v2")
		is.Equal(o.find(t, "r"), map[string]bool{"": true})
		o.remove("a")
		is.Equal(o.find(t, "r"), map[string]bool{"": true}) // v1 may have begun it
		fresh := o.list[0]
		f := o.start(fresh)
		f.ApplyListChange(view.ListChange{Version: 1, Changed: []view.Upstream{{ID: "b", Service: "s", Address: "127.0.0.1:1", Slots: 9, Version: "v2"}}})
		is.Equal(o.find(t, "r"), map[string]bool{"": true}) // the other ones have seen v1
		wait.For(t.Context(), originLifetime)
		is.Equal(o.find(t, "r"), map[string]bool{"v2": true})
	})
}

// An instance that has just started may not have heard of the others yet, which know more.
func TestInstanceThatKnowsNoOthersYetAssumesNoOrigin(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		self := o.list[0]
		self.Settled = false
		o.list = []Instance{self}
		f := o.start(self)
		o.instances = map[string]*Fleet{self.Address: f}
		o.publish("a", "v1")
		is.Equal(o.find(t, "r"), map[string]bool{"": true})
		self.Settled = true
		f.SetInstances([]Instance{self})
		is.Equal(o.find(t, "r"), map[string]bool{"": true}) // others may have ended
		wait.For(t.Context(), originLifetime)
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
	})
}

// An instance that has just started and reaches no peer knows nothing of what came before.
func TestFreshInstanceAloneAssumesNoOrigin(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		for _, i := range o.list[1:] {
			o.kill(i.Address)
		}
		is.Equal(o.find(t, "r"), map[string]bool{"": true})
		wait.For(t.Context(), originLifetime)
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
	})
}

// A partitioned instance doesn't know which versions have appeared since, and began streams elsewhere. Its peers
// may not even count as reachable any more.
func TestInstanceWithAnOldListAssumesNoOrigin(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprint("peers count as reachable: ", reachable), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOriginFleet(2)
				o.publish("a", "v1")
				wait.For(t.Context(), originLifetime)
				self := o.list[0].Address
				o.listAge[self] = 2 * currentListAge
				o.list = slices.Clone(o.list)
				for n, i := range o.list[1:] {
					o.kill(i.Address)
					o.list[n+1].Reachable, o.list[n+1].MayOwn = reachable, reachable
				}
				o.instances[self].SetInstances(slices.Clone(o.list))
				is.Equal(o.find(t, "r"), map[string]bool{"": true})
				is.Equal(o.find(t, ""), map[string]bool{"": true})
			})
		})
	}
}

// Guards against a stream that goes on at another version than the one that began it, since the instance that its caller
// turns to hasn't learned yet of a version that has just appeared, and began the stream elsewhere.
func TestInstanceThatLagsBehindAssumesNoOrigin(t *testing.T) {
	for _, zones := range []int{1, 2, 4} {
		for n := range 2 * zones {
			t.Run(fmt.Sprintf("%d zones, instance %d", zones, n), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					o := newOriginFleet(zones)
					o.publish("a", "v1")
					wait.For(t.Context(), originLifetime)
					late := o.instances[o.list[n].Address]
					delete(o.instances, o.list[n].Address)
					o.publish("b", "v2")
					o.instances[o.list[n].Address] = late
					for began, i := range o.list {
						if began == n {
							continue
						}
						for stream := range 20 {
							request := fmt.Sprint("r", began, "-", stream)
							o.instances[i.Address].RecordOrigin(BegunStream{Request: request, Service: "s", Version: "v2", Lifetime: originLifetime, OnlyService: true})
							_, version, known := late.FindOrigin(t.Context(), ResumedStream{Request: request, Service: "s", Lifetime: originLifetime, OnlyService: always, ConfigAge: listOf(0), ListAge: listOf(time.Second)})
							if !known || version != "v2" {
								t.Fatalf("a stream of version v2, begun at instance %d, is known as one of %q (%v)", began, version, known)
							}
						}
					}
				})
			})
		}
	}
}

// Guards against a stream that goes on at another version than the one that began it, since the instance that its caller turns to
// lacks a version that has just appeared, and those that were told of the stream are out of reach.
func TestOriginThatIsRecordedOutOfReachIsNotAssumed(t *testing.T) {
	for name, c := range map[string]struct {
		lags func(i, last Instance) bool // the other instances that lack v2, too
		// lose makes all instances that know the stream of v2 unable to say so.
		lose func(o *originFleet, knowing []Instance)
	}{
		"they are silent": {lose: func(o *originFleet, knowing []Instance) { o.killAll(knowing) }},
		"they are silent, others lag as well": {
			lags: func(i, last Instance) bool { return i.Zone != last.Zone },
			lose: func(o *originFleet, knowing []Instance) { o.killAll(knowing) },
		},
		"they are known to be unreachable": {lose: func(o *originFleet, knowing []Instance) {
			o.killAll(knowing)
			o.markUnreachable(knowing)
		}},
		"the last zone is unreachable, others lag as well": {
			lags: func(i, last Instance) bool { return i.Zone != last.Zone },
			lose: func(o *originFleet, knowing []Instance) {
				o.killAll(knowing)
				o.markUnreachable(knowing)
			},
		},
		"all have just restarted with a list that lags": {lose: func(o *originFleet, knowing []Instance) {
			for _, i := range knowing {
				o.startWithFirstVersion(i)
			}
		}},
	} {
		for _, zones := range []int{1, 2, 3, 4} {
			for stream := range 10 {
				t.Run(fmt.Sprintf("%s, %d zones, stream %d", name, zones, stream), func(t *testing.T) {
					virtualtime.Test(t, func(t *testing.T) {
						is := is.New(t)
						o := newOriginFleet(zones)
						o.publish("a", "v1")
						wait.For(t.Context(), originLifetime)
						last := o.list[len(o.list)-1]
						lagging := map[string]*Fleet{}
						var knowing []Instance
						for n, i := range o.list {
							if n == 0 || c.lags != nil && c.lags(i, last) {
								lagging[i.Address] = o.instances[i.Address]
								delete(o.instances, i.Address)
							} else {
								knowing = append(knowing, i)
							}
						}
						o.publish("b", "v2")
						request := fmt.Sprint("r", stream)
						o.instances[last.Address].RecordOrigin(BegunStream{Request: request, Service: "s", Version: "v2", Lifetime: originLifetime, OnlyService: true})
						maps.Copy(o.instances, lagging)
						c.lose(o, knowing)
						f := lagging[o.list[0].Address]
						f.SetInstances(slices.Clone(o.list))
						confirmed := time.Now().Add(maxProofWait / 2) // by a read that is sent then, and shows v2
						before := listOf(time.Second)
						readLater := func() time.Duration {
							if time.Now().Before(confirmed) {
								return before()
							}
							f.ApplyListChange(view.ListChange{Version: o.revision, Changed: []view.Upstream{o.listed["b"]}})
							return time.Since(confirmed)
						}
						for _, listAge := range []func() time.Duration{before, readLater} {
							_, _, known := f.FindOrigin(t.Context(), ResumedStream{Request: request, Service: "s", Lifetime: originLifetime, OnlyService: always, ConfigAge: listOf(0), ListAge: listAge})
							is.True(!known)
						}
					})
				})
			}
		}
	}
}

// Guards against a stream that goes on at another service than the one that began it: a route may have been moved since the
// configuration was confirmed, which instances out of reach know.
func TestRouteIsConfirmedWhereInstancesAreOutOfReach(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed   bool // the configuration, since the request
		onlyService bool // by the configuration that the proof brings
		known       bool
	}{
		"not confirmed":            {false, true, false},
		"confirmed":                {true, true, true},
		"confirmed by another one": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				o := newOriginFleet(2)
				o.publish("a", "v1")
				wait.For(t.Context(), originLifetime)
				for _, i := range o.list[1:] {
					o.kill(i.Address)
				}
				configAge := listOf(time.Second)
				if c.confirmed {
					configAge = listOf(0)
				}
				asked := 0
				onlyService := func() bool { asked++; return asked == 1 || c.onlyService }
				_, _, known := o.instances[o.list[0].Address].FindOrigin(t.Context(), ResumedStream{Request: "r", Service: "s", Lifetime: originLifetime, OnlyService: onlyService, ConfigAge: configAge, ListAge: listOf(0)})
				is.New(t).Equal(known, c.known)
			})
		})
	}
}

// Guards against refusals while keepers don't reply: what a read shows that is sent after the request holds.
func TestListConfirmedSinceTheRequestNeedsNoKeepers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		for _, i := range o.list[1:] {
			o.kill(i.Address)
		}
		began, before := time.Now(), listOf(time.Second)
		confirmed := began.Add(maxProofWait / 2)
		age := func() time.Duration {
			if time.Now().Before(confirmed) {
				return before()
			}
			return time.Since(confirmed)
		}
		_, version, known := o.instances[o.list[0].Address].FindOrigin(t.Context(), ResumedStream{Request: "r", Service: "s", Lifetime: originLifetime, OnlyService: always, ConfigAge: listOf(0), ListAge: age})
		is.True(known)
		is.Equal(version, "v1")
		is.True(time.Since(began) >= maxProofWait/2)
	})
}

// While nobody can read the list, nobody learns of a version: streams go on where all zones are in touch.
func TestOnlyVersionIsTheOriginDuringAnOutageOfTheSource(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		for _, i := range o.list {
			o.listAge[i.Address] = time.Minute
		}
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
		o.kill(o.list[1].Address)
		o.markUnreachable(o.list[1:2])
		for _, i := range o.list {
			o.instances[i.Address].SetInstances(slices.Clone(o.list))
		}
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true, "": true}) // "" in its zone, where no other one replies
		o.kill(o.list[3].Address)                                       // the zone
		is.Equal(o.find(t, "r"), map[string]bool{"": true})
	})
}

// Guards against streams that are joined from two versions: the former version left the list, then some or all instances
// were killed, and those that came back took the only version that they found for that of any stream.
func TestVersionThatLeftBeforeInstancesWereKilledIsNotForgotten(t *testing.T) {
	const zones = 2
	for killed := 1; killed <= 2*zones; killed++ {
		t.Run(fmt.Sprintf("%d of %d killed", killed, 2*zones), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				o := newOriginFleet(zones)
				o.publish("a", "v1")
				wait.For(t.Context(), originLifetime)
				for n, i := range o.list {
					o.instances[i.Address].RecordOrigin(BegunStream{Request: fmt.Sprint("r", n), Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
				}
				o.publish("b", "v2")
				o.remove("a")
				o.restart(o.list[:killed]...)
				for n := range o.list {
					for version := range o.find(t, fmt.Sprint("r", n)) {
						if version == "v2" {
							t.Errorf("stream r%d of version v1 goes on at %s", n, version)
						}
					}
				}
			})
		})
	}
}

// Guards against streams of two services at an instance whose configuration lags: it doesn't know that its route has changed.
func TestInstanceWithAnOlderConfigurationAssumesNoOrigin(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		o.configRevision = 8
		f := o.instances[o.list[0].Address]
		for _, c := range []struct {
			revision int64
			known    bool
		}{{7, false}, {8, true}, {9, true}} {
			_, _, known := f.FindOrigin(t.Context(), ResumedStream{Request: "r", Service: "s", Lifetime: originLifetime, OnlyService: always, ConfigRevision: c.revision, ConfigAge: listOf(0), ListAge: listOf(0)})
			is.Equal(known, c.known)
		}
	})
}

// Guards against refusals in a rolling restart: a keeper that has no list yet says nothing of versions.
func TestKeeperWithoutAListDoesNotPreventAConclusion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		started := o.list[1]
		o.start(started)
		for _, i := range o.list {
			_, version, known := o.instances[i.Address].FindOrigin(t.Context(), ResumedStream{Request: "r", Service: "s", Lifetime: originLifetime, OnlyService: always, ConfigAge: listOf(0), ListAge: listOf(0)})
			is.Equal(known, i.Address != started.Address)
			is.Equal(version == "v1", known)
		}
	})
}

// Guards against refusals, and streams of two versions, where routes of a service have several timeouts: the lifetime of the
// longest counts for what is shared and concluded.
func TestLongestLifetimeOfAServiceCounts(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		o.publish("b", "v2")
		wait.For(t.Context(), 2*originLifetime)
		for _, i := range o.list { // streams of a long route
			o.instances[i.Address].RecordOrigin(BegunStream{Request: "long" + i.Address, Service: "s", Version: "v2", Lifetime: originLifetime, OnlyService: true})
		}
		o.remove("a")
		wait.For(t.Context(), originLifetime/2)
		began := o.list[0].Address
		o.instances[began].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v2", Lifetime: originLifetime / 4, OnlyService: true})
		for _, i := range o.list {
			_, _, known := o.instances[i.Address].FindOrigin(t.Context(), ResumedStream{Request: "unknown", Service: "s", Lifetime: originLifetime / 4, OnlyService: always, ConfigAge: listOf(0), ListAge: listOf(0)})
			is.True(!known) // v1 may have begun it by the long route
			_, version, known := o.instances[i.Address].FindOrigin(t.Context(), ResumedStream{Request: "r", Service: "s", Lifetime: originLifetime / 4, OnlyService: always, ConfigAge: listOf(0), ListAge: listOf(0)})
			is.True(known)
			is.Equal(version, "v2")
		}
	})
}
