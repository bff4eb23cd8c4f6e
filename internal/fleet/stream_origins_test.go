package fleet

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/view"
	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// Whichever instance began a stream and whichever the caller turns to, the version that began it must be
// found, also when the instance that began it is gone, or one of the keepers.
func TestOriginIsFoundFromAllInstances(t *testing.T) {
	for _, zones := range []int{1, 2, 4, 7} {
		for n := range 2 * zones {
			t.Run(fmt.Sprintf("%d zones, instance %d", zones, n), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					is := is.New(t)
					o := newOriginFleet(zones)
					o.publish("a", "v1")
					o.publish("b", "v2")
					began := o.list[n].Address
					for stream := range 20 {
						o.instances[began].RecordOrigin(BegunStream{Request: fmt.Sprint("r", stream), Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
						is.Equal(o.find(t, fmt.Sprint("r", stream)), map[string]bool{"v1": true})
						o.instances[began].RecordOrigin(BegunStream{Request: fmt.Sprint("unasked", stream), Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
					}
					is.Equal(o.find(t, "another"), map[string]bool{"": true})
					o.kill(began)
					for stream := range 20 {
						is.Equal(o.find(t, fmt.Sprint("unasked", stream)), map[string]bool{"v1": true})
					}
				})
			})
		}
	}
}

// Streams that began before a second version appeared must be known as well: until then nobody was told.
func TestOriginsAreSharedWhenAVersionAppears(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		began := o.list[0].Address
		o.instances[began].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		for address, f := range o.instances {
			is.Equal(f.origins.Len(), map[bool]int{true: 1}[address == began])
		}
		o.publish("b", "v2")
		o.kill(began)
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
	})
}

// Guards against refusals of streams that an instance knew which was killed: one that began while a version appeared was recorded
// as that of the only version after the origins had been shared.
func TestOriginIsSharedIfAVersionAppearsMeanwhile(t *testing.T) {
	const fleets, callers, streams = 100, 4, 100
	for range fleets {
		virtualtime.Test(t, func(t *testing.T) {
			is := is.New(t)
			o := newOriginFleet(2)
			o.publish("a", "v1")
			wait.For(t.Context(), originLifetime)
			f := o.instances[o.list[0].Address]
			var running sync.WaitGroup
			for c := range callers {
				running.Go(func() {
					for n := range streams {
						f.RecordOrigin(BegunStream{Request: fmt.Sprint(c, "-", n), Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
					}
				})
			}
			running.Go(func() {
				for f.origins.Len() < callers*streams/10 {
					runtime.Gosched()
				}
				f.ApplyListChange(view.ListChange{Version: o.revision + 1, Changed: []view.Upstream{{ID: "b", Service: "s", Address: "127.0.0.1:1", Slots: 9, Version: "v2"}}})
			})
			running.Wait()
			is.Equal(len(f.origins.TakeUnshared(time.Now(), "s")), 0)
		})
	}
}

// An instance that is terminated hands over what it knows, so that an origin outlives all instances that had it.
func TestOriginsAreHandedOver(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		o.publish("b", "v2")
		o.instances[o.list[0].Address].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		for len(o.list) > 1 {
			ended := o.list[0].Address
			o.list = slices.Clone(o.list[1:])
			for _, f := range o.instances {
				f.SetInstances(slices.Clone(o.list))
			}
			o.instances[ended].HandOverOrigins()
			o.kill(ended)
		}
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true})
	})
}

// Guards against refusals of streams that began at an instance which was terminated, while their service had one version,
// if another one appears afterwards: nobody else can conclude the version then.
func TestOriginsOfTheOnlyVersionAreHandedOver(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		left := o.list[0].Address
		f := o.instances[left]
		f.RecordOrigin(BegunStream{Request: "before", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		f.HandOverOrigins()
		f.RecordOrigin(BegunStream{Request: "in the grace period", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		delete(o.instances, left)
		o.list = slices.Clone(o.list[1:])
		for _, f := range o.instances {
			f.SetInstances(slices.Clone(o.list))
		}
		o.publish("b", "v2")
		for _, request := range []string{"before", "in the grace period"} {
			is.Equal(o.find(t, request), map[string]bool{"v1": true})
		}
	})
}

// When a keeper is killed, the instance that takes its place must get the origins, and one that comes back as
// well: otherwise they would be gone with the last instance that got them when the stream began.
func TestNewKeepersGetTheOrigins(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		o.publish("b", "v2")
		first, last := o.list[0], o.list[len(o.list)-1]
		o.instances[first.Address].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
		for _, killed := range o.list[1 : len(o.list)-1] {
			o.kill(killed.Address)
			o.list = slices.DeleteFunc(slices.Clone(o.list), func(i Instance) bool { return i.Address == killed.Address })
			for _, f := range o.instances {
				f.SetInstances(slices.Clone(o.list))
			}
		}
		o.kill(first.Address)
		is.Equal(o.find(t, "r"), map[string]bool{"v1": true}) // last is alone
		o.start(first)
		o.list = []Instance{last}
		o.instances[last.Address].SetInstances(slices.Clone(o.list))
		o.list = []Instance{first, last}
		o.instances[last.Address].SetInstances(slices.Clone(o.list))
		is.Equal(o.instances[first.Address].origins.Len(), 1)
	})
}

// Guards against refusals of streams after all instances were killed: streams that begin then must be resumed at any
// instance, though nobody has followed the list for long.
func TestStreamsThatBeginAfterARestartOfAllAreKnownToAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		o.restart(o.list...)
		for n, i := range o.list {
			request := fmt.Sprint("r", n)
			o.instances[i.Address].RecordOrigin(BegunStream{Request: request, Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
			is.Equal(o.find(t, request), map[string]bool{"v1": true})
		}
	})
}

// Guards against refusals, and streams of two versions, after most instances were killed: those that come back must be
// sent what the others know, though the version that began the streams has left the list, and though they come back so soon, at
// the same addresses, that nobody has missed them.
func TestOriginsOutliveVersionAndKeepers(t *testing.T) {
	for _, zones := range []int{1, 2, 3} {
		for survivor := range 2 * zones {
			t.Run(fmt.Sprintf("%d zones, instance %d survives", zones, survivor), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					is := is.New(t)
					o := newOriginFleet(zones)
					o.publish("a", "v1")
					wait.For(t.Context(), originLifetime)
					for n := range 20 {
						o.instances[o.list[survivor].Address].RecordOrigin(BegunStream{Request: fmt.Sprint("r", n), Service: "s", Version: "v1", Lifetime: originLifetime, OnlyService: true})
					}
					o.publish("b", "v2")
					o.remove("a")
					o.restart(slices.DeleteFunc(slices.Clone(o.list), func(i Instance) bool { return i.Address == o.list[survivor].Address })...)
					for n := range 20 {
						is.Equal(o.find(t, fmt.Sprint("r", n)), map[string]bool{"v1": true})
					}
				})
			})
		}
	}
}

// Guards against streams of two services: the path of a stream led elsewhere before, or may lead elsewhere, so that others
// can't conclude what began it.
func TestOriginsOfChangedRoutesAreShared(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		for n, i := range o.list {
			f := o.instances[i.Address]
			began := BegunStream{Request: fmt.Sprint("after", n), Service: "s", Version: "v1", Lifetime: originLifetime}
			f.RecordOrigin(began) // its route has changed
			began.Request, began.OnlyService = fmt.Sprint("before", n), true
			f.RecordOrigin(began)
			f.ShareOrigins([]string{"s"}) // its route changes
		}
		for n := range o.list {
			for _, request := range []string{fmt.Sprint("after", n), fmt.Sprint("before", n)} {
				for _, f := range o.instances {
					service, _, known := f.FindOrigin(t.Context(), ResumedStream{Request: request, Service: "t", Lifetime: originLifetime, OnlyService: never, ConfigAge: listOf(0), ListAge: listOf(0)})
					is.True(known)
					is.Equal(service, "s")
				}
			}
		}
	})
}

// Guards against links that end as a stream begins: a frame may not state that a stream can be resumed for more than two hours.
func TestLifetimeOfAnOriginIsBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(2)
		o.publish("a", "v1")
		o.instances[o.list[0].Address].RecordOrigin(BegunStream{Request: "r", Service: "s", Version: "v1", Lifetime: 3 * versionMemory, OnlyService: true})
		is.Equal(o.longest, versionMemory)
	})
}

// Guards against streams that go on at another version than the one that began them: an instance that was cut off while a version
// appeared, and all others lack it, isn't known to be unreachable yet.
func TestStreamOfANewVersionBeginsOnceOthersCanKnowIt(t *testing.T) {
	const suspectAfter, later = 500 * time.Millisecond, 200 * time.Millisecond // at the recorder; at the others
	for _, zones := range []int{1, 2, 3} {
		for stream := range 20 {
			t.Run(fmt.Sprintf("%d zones, stream %d", zones, stream), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					o := newOriginFleet(zones)
					o.publish("a", "v1")
					wait.For(t.Context(), originLifetime)
					last, others := o.list[len(o.list)-1], o.list[:len(o.list)-1]
					lagging := maps.Clone(o.instances)
					delete(lagging, last.Address)
					o.instances = map[string]*Fleet{last.Address: o.instances[last.Address]}
					o.publish("b", "v2")
					recorder, began := o.instances[last.Address], time.Now()
					maps.Copy(o.instances, lagging)
					o.killAll(others) // as the recorder sees them
					time.AfterFunc(suspectAfter, func() {
						seen := slices.Clone(o.list)
						for n := range others {
							seen[n].Reachable, seen[n].MayOwn = false, false
						}
						recorder.SetInstances(seen)
					})
					wait.For(t.Context(), time.Duration(stream)*50*time.Millisecond)
					begun := BegunStream{Request: fmt.Sprint("r", stream), Service: "s", Version: "v2", Lifetime: originLifetime, OnlyService: true}
					recorder.RecordOrigin(begun)
					recorder.AwaitShared(t.Context(), begun)
					o.killed = map[string]bool{last.Address: true} // as the others see it
					if time.Since(began) >= suspectAfter+later {
						o.markUnreachable([]Instance{last})
					}
					for address, f := range lagging {
						f.SetInstances(slices.Clone(o.list))
						_, version, known := f.FindOrigin(t.Context(), ResumedStream{Request: begun.Request, Service: "s", Lifetime: originLifetime, OnlyService: always, ConfigAge: listOf(time.Second), ListAge: listOf(time.Second)})
						if known {
							t.Errorf("%s takes the stream of v2 for one of %s", address, version)
						}
					}
				})
			})
		}
	}
}

// Guards against delays: where keepers are in touch, a stream of a new version begins at once.
func TestStreamOfANewVersionBeginsAtOnceWhereKeepersAreInTouch(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOriginFleet(3)
		o.publish("a", "v1")
		wait.For(t.Context(), originLifetime)
		o.publish("b", "v2")
		began := time.Now()
		for _, f := range o.instances {
			for stream := range 10 {
				begun := BegunStream{Request: fmt.Sprint("r", f.o.Instance, stream), Service: "s", Version: "v2", Lifetime: originLifetime, OnlyService: true}
				f.RecordOrigin(begun)
				f.AwaitShared(t.Context(), begun)
			}
		}
		is.Equal(time.Since(began), time.Duration(0))
	})
}
