package view

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

// manyUpstreams returns n entries, each with its own revision.
func manyUpstreams(n int) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{ID: fmt.Sprintf("i-%06d", i), Revision: int64(i + 1), Slots: 8}
	}
	return list
}

// The cost of one change doesn't grow with the list: a peer gets the changed entry only, and
// OnUpstreams is called with that one.
func TestOneChangeTransfersOneEntry(t *testing.T) {
	for _, n := range []int{300, 3_000, 6_000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			var reported []ListChange
			reader, receiver := newView(nil), newView(func(c ListChange) { reported = append(reported, c) })
			list, revision := manyUpstreams(n), int64(n)
			reader.SetUpstreams(list, revision, time.Now())
			is.True(receiver.MergeUpstreams(reader.ListFor(receiver.KnownState()), "p"))
			is.Equal(len(reported[0].Changed), n) // the whole list, to a peer that has none
			for i := range 50 {
				revision++
				u := list[i]
				u.Revision, u.Leaving = revision, true
				reader.ApplyChanges([]Change{{Upstream: u}}, revision, time.Now())
				sent := reader.ListFor(receiver.KnownState())
				is.Equal(len(sent.Upstreams)+len(sent.Removed), 1)
				is.True(receiver.MergeUpstreams(sent, "p"))
				is.Equal(len(reported[i+1].Changed), 1)
			}
			revision++
			reader.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: list[7].ID, Revision: revision}}}, revision, time.Now())
			sent := reader.ListFor(receiver.KnownState())
			is.Equal(len(sent.Upstreams), 0)
			is.Equal(sent.Removed, []string{list[7].ID})
			is.True(receiver.MergeUpstreams(sent, "p"))
			is.Equal(reported[51].Removed, []string{list[7].ID})
			is.Equal(receiver.List().Upstreams, reader.List().Upstreams)
		})
	}
}

// A peer that is too far behind gets the whole list, which is smaller than all the changes.
func TestPeerFarBehindGetsWholeList(t *testing.T) {
	is := is.New(t)
	reader, receiver := newView(nil), newView(nil)
	list, revision := manyUpstreams(20), int64(20)
	reader.SetUpstreams(list, revision, time.Now())
	receiver.MergeUpstreams(reader.ListFor(receiver.KnownState()), "p")
	for i := range 3 * minChanges {
		revision++
		u := list[i%20]
		u.Revision, u.Slots = revision, i
		reader.ApplyChanges([]Change{{Upstream: u}}, revision, time.Now())
	}
	sent := reader.ListFor(receiver.KnownState())
	is.Equal(sent.Since, int64(0))
	is.Equal(len(sent.Upstreams), 20)
	is.True(receiver.MergeUpstreams(sent, "p"))
	is.Equal(receiver.List().Upstreams, reader.List().Upstreams)
}

// A list that lacks a change at the same version is detected by its digest, and only the chunks that
// differ are transferred.
func TestListThatLostAChangeIsRepaired(t *testing.T) {
	is := is.New(t)
	reader, receiver := newView(nil), newView(nil)
	list, revision := manyUpstreams(3_000), int64(3_000)
	reader.SetUpstreams(list, revision, time.Now())
	receiver.MergeUpstreams(reader.ListFor(receiver.KnownState()), "p")
	receiver.updateList("a fault", func(r *roster, now time.Time) {
		r.remove(now, list[5].ID)
		u := list[6]
		u.Leaving = true
		r.put(now, u)
	})
	revision++
	reader.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: list[9].ID, Revision: revision}}}, revision, time.Now())
	is.True(!receiver.MergeUpstreams(reader.ListFor(receiver.KnownState()), "p"))
	sent := reader.ListFor(receiver.KnownState())
	is.True(len(sent.Chunks) > 0 && len(sent.Chunks) <= 2)
	is.True(len(sent.Upstreams) < 3_000/chunkCount*4)
	is.True(receiver.MergeUpstreams(sent, "p"))
	is.Equal(receiver.List().Upstreams, reader.List().Upstreams)
	is.Equal(len(receiver.KnownState().Checksums), 0)
}

// listSimulation is a simulated source of upstreams with instances that follow its list.
type listSimulation struct {
	random   *rand.Rand
	revision int64
	listed   map[string]Upstream
	events   []Change
	views    []*View
	followed [][]Upstream // the lists that result from each view's OnUpstreams calls
	watched  []int64      // up to which revision each view has watched; 0: it receives from peers
}

func newListSimulation(seed uint64, readers, receivers int) *listSimulation {
	w := &listSimulation{random: rand.New(rand.NewPCG(seed, 3)), listed: map[string]Upstream{}}
	w.followed = make([][]Upstream, readers+receivers)
	for i := range readers + receivers {
		w.views = append(w.views, newReachedView(following(&w.followed[i])))
	}
	w.watched = make([]int64, readers+receivers)
	for range 40 {
		w.publish()
	}
	for i := range readers {
		w.read(i)
	}
	return w
}

// publish changes one entry: an upstream registers, changes, announces that it leaves, or is removed.
func (w *listSimulation) publish() {
	w.revision++
	id := fmt.Sprint("i-", w.random.IntN(60))
	u, exists := w.listed[id]
	switch {
	case exists && w.random.IntN(3) == 0:
		delete(w.listed, id)
		w.events = append(w.events, Change{Removed: true, Upstream: Upstream{ID: id, Revision: w.revision}})
		return
	case exists && w.random.IntN(2) == 0:
		u.Leaving = true
	case exists:
		u.Slots++
	default:
		u = Upstream{ID: id, Slots: 1, Incarnation: w.revision}
	}
	u.Revision = w.revision
	u.Sequence++
	w.listed[id] = u
	w.events = append(w.events, Change{Upstream: u})
}

// entries returns the current list.
func (w *listSimulation) entries() (out []Upstream) {
	for _, u := range w.listed {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return int(a.Incarnation - b.Incarnation) })
	return out
}

// read lets a reader read the list in two pages, between which it changes.
func (w *listSimulation) read(i int) {
	first := w.revision
	firstPage := slices.DeleteFunc(w.entries(), func(u Upstream) bool { return u.ID >= "i-3" })
	for range w.random.IntN(4) {
		w.publish()
	}
	secondPage := slices.DeleteFunc(w.entries(), func(u Upstream) bool { return u.ID < "i-3" })
	w.views[i].SetUpstreams(append(firstPage, secondPage...), first, time.Now())
	w.watched[i] = first
}

// watch passes all changes to a reader.
func (w *listSimulation) watch(i int) {
	w.views[i].ApplyChanges(w.events[w.watched[i]:], w.revision, time.Now())
	w.watched[i] = w.revision
}

// fetch transfers a list between two instances, and again where their lists differ at one version.
func (w *listSimulation) fetch(from, to int) {
	for range 3 {
		if w.views[to].MergeUpstreams(w.views[from].ListFor(w.views[to].KnownState()), "p") {
			return
		}
	}
}

// step makes one random event happen.
func (w *listSimulation) step(readers int) {
	i := w.random.IntN(len(w.views))
	switch w.random.IntN(8) {
	case 0, 1, 2:
		w.publish()
	case 3:
		w.watch(w.random.IntN(readers))
	case 4:
		if w.random.IntN(4) == 0 {
			w.read(w.random.IntN(readers))
		}
	case 5, 6:
		w.fetch(w.random.IntN(len(w.views)), i)
	default:
		if w.random.IntN(6) == 0 {
			outage(w.views[i])
		}
	}
}

// Whether instances receive changes from the source or from each other, late, or around an outage, in
// the end all lists equal the published one, and OnUpstreams has reported the same.
func TestListsTransferredAsChangesConverge(t *testing.T) {
	const readers, receivers, steps = 3, 5, 250
	for seed := range uint64(60) {
		virtualtime.Test(t, func(t *testing.T) {
			w := newListSimulation(seed, readers, receivers)
			for range steps {
				w.step(readers)
			}
			w.publish()
			for i := range readers {
				w.watch(i)
			}
			<-time.After(10 * time.Second) // missing upstreams are dropped
			for range 3 {
				for i := range receivers {
					w.fetch(w.random.IntN(readers), readers+i)
				}
			}
			want := w.entries()
			slices.SortFunc(want, compareIDs)
			for i, v := range w.views {
				got := v.List().Upstreams
				if !slices.Equal(got, want) {
					t.Fatalf("seed %d: instance %d has %+v; published are %+v", seed, i, got, want)
				}
				if !slices.EqualFunc(w.followed[i], want, Upstream.equalContent) {
					t.Fatalf("seed %d: instance %d reported %+v; published are %+v", seed, i, w.followed[i], want)
				}
				if checksums := checksumsOf(got); checksums != v.upstreams.checksums.listed {
					t.Fatalf("seed %d: instance %d has wrong checksums", seed, i)
				}
			}
		})
	}
}

func compareIDs(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

func checksumsOf(list []Upstream) (out Checksums) {
	for _, u := range list {
		out[chunkOf(u.ID)] += checksumOf(u)
	}
	return out
}

// following returns a callback that keeps a list up to date by its changes alone.
func following(list *[]Upstream) func(ListChange) {
	return func(c ListChange) {
		*list = slices.DeleteFunc(*list, func(u Upstream) bool {
			changed := slices.ContainsFunc(c.Changed, func(other Upstream) bool { return other.ID == u.ID })
			return changed || slices.Contains(c.Removed, u.ID)
		})
		*list = append(*list, c.Changed...)
		slices.SortFunc(*list, compareIDs)
	}
}

// A log line names a bounded number of upstreams.
func TestLogCountsUnnamedUpstreams(t *testing.T) {
	is := is.New(t)
	r := newRoster(4 * time.Second)
	var list []Upstream
	for i := range maxNamed + 3 {
		list = append(list, Upstream{ID: fmt.Sprint("i-", i), Revision: 1})
	}
	r.replace(time.Now(), list, 1)
	_, states := r.commit(time.Now())
	is.True(strings.HasSuffix(states, ", 3 more"))
}

// Guards against an instance that takes the list which it finds again for the one of all the time between: also if no entry
// differs, others may have come and left.
func TestListChangeTellsTheGapBeforeIt(t *testing.T) {
	list := []Upstream{{ID: "a", Revision: 1}}
	old, now := time.Now().Add(-time.Hour), time.Now()
	for name, c := range map[string]struct {
		asOf   time.Time // of the list before
		update func(v *View)
		gap    bool
	}{
		"read again, changed":          {old, func(v *View) { v.SetUpstreams([]Upstream{{ID: "b", Revision: 4}}, 4, now) }, true},
		"read again, the same entries": {old, func(v *View) { v.SetUpstreams(list, 4, now) }, true},
		"read again, nothing happened": {old, func(v *View) { v.SetUpstreams(list, 3, now) }, false},
		"proven":                       {old, func(v *View) { v.ProveCurrent(3, now) }, false},
		"changes":                      {old, func(v *View) { v.ApplyChanges(nil, 4, now) }, true},
		"a peer's, newer":              {old, func(v *View) { v.MergeUpstreams(List{Version: 4, AsOf: now, Upstreams: list}, "p") }, true},
		"a peer's, of the version":     {old, func(v *View) { v.MergeUpstreams(List{Version: 3, AsOf: now}, "p") }, true},
		"a peer's, as old":             {old, func(v *View) { v.MergeUpstreams(List{Version: 3, AsOf: old}, "p") }, false},
		"current, changed":             {now, func(v *View) { v.SetUpstreams([]Upstream{{ID: "b", Revision: 4}}, 4, now) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			gap := false
			v := newView(func(c ListChange) { gap = c.Gap > 0 })
			v.SetUpstreams(list, 3, c.asOf)
			c.update(v)
			is.New(t).Equal(gap, c.gap)
		})
	}
}
