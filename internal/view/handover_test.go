package view

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// manyUpstreams returns so many entries, each of a revision of its own.
func manyUpstreams(n int) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{ID: fmt.Sprintf("i-%06d", i), Revision: int64(i + 1), Slots: 8}
	}
	return list
}

// What one change costs doesn't grow with the list: a peer gets the entry that has changed, and whoever uses
// the list is told of that one.
func TestOneChangeHandsOverOneEntry(t *testing.T) {
	for _, n := range []int{300, 3_000, 6_000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			var told []ListChange
			reads, learns := newView(nil), newView(func(c ListChange) { told = append(told, c) })
			list, revision := manyUpstreams(n), int64(n)
			reads.SetUpstreams(list, revision, time.Now())
			is.True(learns.MergeUpstreams(reads.ListFor(learns.KnownState()), "p"))
			is.Equal(len(told[0].Changed), n) // the whole, to one that knows nothing
			for i := range 50 {
				revision++
				u := list[i]
				u.Revision, u.Leaving = revision, true
				reads.ApplyChanges([]Change{{Upstream: u}}, revision, time.Now())
				handed := reads.ListFor(learns.KnownState())
				is.Equal(len(handed.Upstreams)+len(handed.Removed), 1)
				is.True(learns.MergeUpstreams(handed, "p"))
				is.Equal(len(told[i+1].Changed), 1)
			}
			revision++
			reads.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: list[7].ID, Revision: revision}}}, revision, time.Now())
			handed := reads.ListFor(learns.KnownState())
			is.Equal(len(handed.Upstreams), 0)
			is.Equal(handed.Removed, []string{list[7].ID})
			is.True(learns.MergeUpstreams(handed, "p"))
			is.Equal(told[51].Removed, []string{list[7].ID})
			is.Equal(learns.List().Upstreams, reads.List().Upstreams)
		})
	}
}

// Whoever is too far behind gets the whole list, which is smaller than all the changes.
func TestWhoIsFarBehindGetsTheWholeList(t *testing.T) {
	is := is.New(t)
	reads, learns := newView(nil), newView(nil)
	list, revision := manyUpstreams(20), int64(20)
	reads.SetUpstreams(list, revision, time.Now())
	learns.MergeUpstreams(reads.ListFor(learns.KnownState()), "p")
	for i := range 3 * minChanges {
		revision++
		u := list[i%20]
		u.Revision, u.Slots = revision, i
		reads.ApplyChanges([]Change{{Upstream: u}}, revision, time.Now())
	}
	handed := reads.ListFor(learns.KnownState())
	is.Equal(handed.Since, int64(0))
	is.Equal(len(handed.Upstreams), 20)
	is.True(learns.MergeUpstreams(handed, "p"))
	is.Equal(learns.List().Upstreams, reads.List().Upstreams)
}

// A list that has lost a change without knowing is found out by its digest, and the parts that differ alone
// are handed over.
func TestAListThatLostAChangeIsMended(t *testing.T) {
	is := is.New(t)
	reads, learns := newView(nil), newView(nil)
	list, revision := manyUpstreams(3_000), int64(3_000)
	reads.SetUpstreams(list, revision, time.Now())
	learns.MergeUpstreams(reads.ListFor(learns.KnownState()), "p")
	learns.updateList("a fault", func(r *roster, now time.Time) {
		r.remove(now, list[5].ID)
		u := list[6]
		u.Leaving = true
		r.put(now, u)
	})
	revision++
	reads.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: list[9].ID, Revision: revision}}}, revision, time.Now())
	is.True(!learns.MergeUpstreams(reads.ListFor(learns.KnownState()), "p"))
	handed := reads.ListFor(learns.KnownState())
	is.True(len(handed.Chunks) > 0 && len(handed.Chunks) <= 2)
	is.True(len(handed.Upstreams) < 3_000/chunkCount*4)
	is.True(learns.MergeUpstreams(handed, "p"))
	is.Equal(learns.List().Upstreams, reads.List().Upstreams)
	is.Equal(len(learns.KnownState().Checksums), 0)
}

// listWorld is a source of upstreams and the instances that believe in its list.
type listWorld struct {
	random   *rand.Rand
	revision int64
	listed   map[string]Upstream
	events   []Change
	views    []*View
	followed [][]Upstream // what those are told who use a view's list
	watched  []int64      // up to which revision each view has watched; 0: it learns from others
}

func newListWorld(seed uint64, readers, learners int) *listWorld {
	w := &listWorld{random: rand.New(rand.NewPCG(seed, 3)), listed: map[string]Upstream{}}
	w.followed = make([][]Upstream, readers+learners)
	for i := range readers + learners {
		w.views = append(w.views, inTouch(following(&w.followed[i])))
	}
	w.watched = make([]int64, readers+learners)
	for range 40 {
		w.publish()
	}
	for i := range readers {
		w.read(i)
	}
	return w
}

// publish changes one entry: one comes, changes, says that it leaves, or goes.
func (w *listWorld) publish() {
	w.revision++
	id := fmt.Sprint("i-", w.random.IntN(60))
	u, there := w.listed[id]
	switch {
	case there && w.random.IntN(3) == 0:
		delete(w.listed, id)
		w.events = append(w.events, Change{Removed: true, Upstream: Upstream{ID: id, Revision: w.revision}})
		return
	case there && w.random.IntN(2) == 0:
		u.Leaving = true
	case there:
		u.Slots++
	default:
		u = Upstream{ID: id, Slots: 1, Incarnation: w.revision}
	}
	u.Revision = w.revision
	u.Sequence++
	w.listed[id] = u
	w.events = append(w.events, Change{Upstream: u})
}

// entries is the list of today.
func (w *listWorld) entries() (out []Upstream) {
	for _, u := range w.listed {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return int(a.Incarnation - b.Incarnation) })
	return out
}

// read lets a reader read the list in two pages, between which it changes.
func (w *listWorld) read(i int) {
	first := w.revision
	half := slices.DeleteFunc(w.entries(), func(u Upstream) bool { return u.ID >= "i-3" })
	for range w.random.IntN(4) {
		w.publish()
	}
	rest := slices.DeleteFunc(w.entries(), func(u Upstream) bool { return u.ID < "i-3" })
	w.views[i].SetUpstreams(append(half, rest...), first, time.Now())
	w.watched[i] = first
}

// watch lets a reader hear of all changes.
func (w *listWorld) watch(i int) {
	w.views[i].ApplyChanges(w.events[w.watched[i]:], w.revision, time.Now())
	w.watched[i] = w.revision
}

// learn lets an instance ask another one, and again where their lists differ though they shouldn't.
func (w *listWorld) learn(from, to int) {
	for range 3 {
		if w.views[to].MergeUpstreams(w.views[from].ListFor(w.views[to].KnownState()), "p") {
			return
		}
	}
}

// step lets something happen.
func (w *listWorld) step(readers int) {
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
		w.learn(w.random.IntN(len(w.views)), i)
	default:
		if w.random.IntN(6) == 0 {
			outage(w.views[i])
		}
	}
}

// However instances hear of changes - by the source, in part from each other, late, around an outage - in the end
// all believe what is published, and whoever uses a list has been told the same.
func TestListsThatAreHandedOverAsChangesAreAlikeInTheEnd(t *testing.T) {
	const readers, learners, steps = 3, 5, 250
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := newListWorld(seed, readers, learners)
			for range steps {
				w.step(readers)
			}
			w.publish()
			for i := range readers {
				w.watch(i)
			}
			<-time.After(10 * time.Second) // what is missing is given up
			for range 3 {
				for i := range learners {
					w.learn(w.random.IntN(readers), readers+i)
				}
			}
			want := w.entries()
			slices.SortFunc(want, compareIDs)
			for i, v := range w.views {
				got := v.List().Upstreams
				if !slices.Equal(got, want) {
					t.Fatalf("seed %d: instance %d believes %+v; published are %+v", seed, i, got, want)
				}
				if !slices.EqualFunc(w.followed[i], want, Upstream.equalContent) {
					t.Fatalf("seed %d: instance %d was told %+v; published are %+v", seed, i, w.followed[i], want)
				}
				if sums := sumsOf(got); sums != v.upstreams.checksums.listed {
					t.Fatalf("seed %d: instance %d has wrong sums", seed, i)
				}
			}
		})
	}
}

func compareIDs(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

func sumsOf(list []Upstream) (out Checksums) {
	for _, u := range list {
		out[chunkOf(u.ID)] += checksumOf(u)
	}
	return out
}

// following keeps a list up to date by its changes alone.
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

// A line names a bounded number of upstreams.
func TestTheLogCountsWhatItDoesNotName(t *testing.T) {
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
