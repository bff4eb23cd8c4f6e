package view

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
	"github.com/tacktally/tacktally/internal/wait"
)

// source decodes a content as the name of its only route. Published are its entries by ID, and reads
// counts the reads of each; nil publishes none.
type source struct {
	published map[string]Upstream
	reads     map[string]int
}

func (source) BytesRead() int64 { return 0 }

func (s source) ReadEntry(_ context.Context, id string) (Change, error) {
	s.reads[id]++
	u, listed := s.published[id]
	switch {
	case !listed:
		return Change{Removed: true, Upstream: Upstream{ID: id}}, nil
	case u.Slots < 0:
		return Change{Unreadable: true, Upstream: u}, errors.New("it has no slots")
	case u.Revision == 0:
		return Change{}, errors.New("the source is away")
	}
	return Change{Upstream: u}, nil
}

func (source) Run(ctx context.Context, _ Sink) { <-ctx.Done() }

func (source) Decode(content []byte) (*routing.Document, error) {
	if len(content) == 0 {
		return nil, errors.New("it is empty")
	}
	return &routing.Document{
		Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{
			Name: string(content), Host: "h", Prefix: "/", Kind: routing.Idempotent,
			Timeout: time.Second, MaxAttempts: 1, Split: []routing.WeightedService{{Service: "s", Weight: 1}},
		}},
	}, nil
}

// newView returns a view that knows only that no zone is evacuated.
func newView(onUpstreams func(ListChange)) *View {
	v := New(Options{
		Source: source{}, Lease: 5 * time.Second, SettlePeriod: 2 * time.Second, LapseAfter: 2 * time.Second, OnUpstreams: onUpstreams,
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	v.SetEvacuations(nil, 1)
	return v
}

// Two instances have different lists of one version: one of them keeps a removed upstream as missing,
// since its list settles. Their logs show the difference.
func TestLogDigestDiffersForDifferentListsOfOneVersion(t *testing.T) {
	is := is.New(t)
	var first, second bytes.Buffer
	steady, settling := newView(nil), newView(nil)
	steady.o.Log, settling.o.Log = telemetry.NewLogger(&first, "info", "a"), telemetry.NewLogger(&second, "info", "b")
	settling.upstreams.settleUntil(time.Now().Add(time.Second))
	for _, v := range []*View{steady, settling} {
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 3, time.Now())
	}
	is.Equal(steady.ListVersion(), settling.ListVersion())
	here, there := lastLine(first.String()), lastLine(second.String())
	is.True(fieldOf(here, "digest") != fieldOf(there, "digest"))
	is.Equal(milliseconds(t, here, "settling"), 0.0)
	is.True(milliseconds(t, there, "settling") > 0)
}

// When a list had to be read again, the log gives the cause and the duration.
func TestLogNamesCauseOfListRead(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	v := newView(nil)
	v.o.Log = telemetry.NewLogger(&out, "info", "a")
	v.ReportListRead(ListRead{Cause: errors.New("the watch was silent"), Revision: 9, Pages: 4, Took: 1440 * time.Millisecond})
	line := lastLine(out.String())
	is.Equal(fieldOf(line, "event"), "list_read")
	is.Equal(fieldOf(line, "pages"), "4")
	is.Equal(milliseconds(t, line, "took"), 1440.0)
	is.True(strings.Contains(line, `cause="the watch was silent"`))
}

// When a configuration comes into force, the log names the one before it, so that a version that goes back shows.
func TestLogNamesTheConfigurationBefore(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	v := newVersionedView()
	v.o.Log = telemetry.NewLogger(&out, "info", "a")
	v.SetConfiguration(3, []byte("30"), time.Now())
	v.SetConfiguration(5, []byte("50"), time.Now())
	line := lastLine(out.String())
	is.Equal(fieldOf(line, "event"), "config_accepted")
	is.Equal([]string{fieldOf(line, "revision"), fieldOf(line, "revision_before")}, []string{"5", "3"})
	is.Equal([]string{fieldOf(line, "version"), fieldOf(line, "version_before")}, []string{"50", "30"})
}

// Guards against services of an older configuration that stay in use, since two came into force at once and the newer
// one was passed on first.
func TestConfigurationsArePassedOnInOrder(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVersionedView()
		var passed []int64
		v.o.OnTable = func(table *routing.Table) {
			if table.Version == 30 {
				<-time.After(time.Second) // of the fake clock: the newer one comes meanwhile
			}
			passed = append(passed, table.Version)
		}
		go v.SetConfiguration(3, []byte("30"), time.Now())
		synctest.Wait()
		go v.MergeConfiguration(Configuration{Revision: 5, Content: []byte("50")}, time.Now(), "p")
		<-time.After(2 * time.Second)
		synctest.Wait()
		is.Equal(passed, []int64{30, 50})
	})
}

// Guards against a configuration that is passed on although a newer one has come into force before its turn.
func TestReplacedConfigurationIsNotPassedOn(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVersionedView()
		var passed []int64
		v.o.OnTable = func(table *routing.Table) {
			passed = append(passed, table.Version)
			<-time.After(time.Second)
		}
		for n, content := range []string{"30", "50", "70"} {
			go v.SetConfiguration(int64(n+1), []byte(content), time.Now())
			synctest.Wait()
		}
		<-time.After(5 * time.Second)
		synctest.Wait()
		is.Equal(passed, []int64{30, 70})
	})
}

// Lists that are older than the one in use are counted, from the source and from peers.
func TestOlderListsAreCounted(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.SetUpstreams([]Upstream{{ID: "a", Revision: 4}}, 4, time.Now())
	v.SetUpstreams(nil, 3, time.Now())
	v.MergeUpstreams(List{Version: 2}, "p")
	v.MergeUpstreams(List{Version: 4}, "p")
	v.MergeUpstreams(List{}, "p") // no list
	is.Equal(v.o.Metrics.Value("tacktally_lists_older_total"), uint64(2))
	is.Equal(v.ListCount(), 1)
}

func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}

func milliseconds(t *testing.T, line, name string) float64 {
	t.Helper()
	ms, err := strconv.ParseFloat(fieldOf(line, name), 64)
	if err != nil {
		t.Fatal(err)
	}
	return ms
}

// fieldOf returns a field's value, which has no spaces, in a line of a log.
func fieldOf(line, name string) string {
	_, after, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(after, " ")
	return strings.Trim(value, `"`)
}

// A list that was read page by page may contain a later change, under the version of its first page.
// Once the change itself arrives, the list gets its version, so that peers without it request the list.
func TestKnownChangeRaisesListVersion(t *testing.T) {
	is := is.New(t)
	paged, behind := newView(nil), newView(nil)
	paged.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 3, time.Now()) // b was removed at 4, before the last page
	behind.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 3, time.Now())
	paged.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "b", Revision: 4}}}, 4, time.Now())
	is.True(paged.ListVersion() > behind.ListVersion())
	behind.MergeUpstreams(paged.List(), "paged")
	is.Equal(ids(behind.List().Upstreams), []string{"a"})
}

// Entries from a peer whose release sends no sequence numbers are ordered by revision.
func TestEntriesWithoutSequenceAreOrderedByRevision(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.SetUpstreams([]Upstream{{ID: "a", Revision: 1, Sequence: 9, Incarnation: 7}}, 1, time.Now())
	v.MergeUpstreams(List{Version: 2, Upstreams: []Upstream{{ID: "a", Revision: 2, Leaving: true}}}, "older")
	is.True(v.List().Upstreams[0].Leaving)
}

// An upstream's responses close their connections, as those of one that leaves do, and the list has it
// as available. Only its entry is read, at most once per interval; the list keeps its version, since
// other changes aren't known.
func TestRecheckUpstreamReadsItsEntry(t *testing.T) {
	for name, c := range map[string]struct {
		published map[string]Upstream
		left      string // upstreams that are still available
	}{
		"it leaves":               {map[string]Upstream{"b": {ID: "b", Revision: 9, Leaving: true}}, "a"},
		"it is removed":           {nil, "a"},
		"its entry is invalid":    {map[string]Upstream{"b": {ID: "b", Revision: 9, Slots: -1}}, "a"},
		"it stays":                {map[string]Upstream{"b": {ID: "b", Revision: 2}}, "a b"},
		"its entry can't be read": {map[string]Upstream{"b": {ID: "b"}}, "a b"},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newView(nil)
				reads := map[string]int{}
				v.o.Source = source{published: c.published, reads: reads}
				list := []Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}
				v.SetUpstreams(list, 3, time.Now())
				for range 5 {
					v.RecheckUpstream("b")
					synctest.Wait()
				}
				is.Equal(reads["b"], 1)
				is.Equal(available(v), c.left)
				is.Equal(v.ListVersion(), int64(3))
				v.MergeUpstreams(List{Version: 4, Upstreams: list}, "a peer without the change")
				is.Equal(available(v), c.left)
				v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 12}}, 12, time.Now()) // it is back
				is.Equal(available(v), "a b")
				wait.For(t.Context(), recheckInterval)
				v.RecheckUpstream("b")
				synctest.Wait()
				is.Equal(reads["b"], 2)
				v.RecheckUpstream("unknown")
				synctest.Wait()
				is.Equal(reads["unknown"], 0)
			})
		})
	}
}

// A read entry is ignored if a newer one was received during the read.
func TestEntryReadBeforeAChangeIsIgnored(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 1, time.Now())
	read := v.List().Upstreams[0]
	v.ApplyChanges([]Change{{Upstream: Upstream{ID: "a", Revision: 2, Slots: 4}}}, 2, time.Now())
	v.upstreams.applyEntry(time.Now(), read, Change{Removed: true, Upstream: Upstream{ID: "a"}})
	is.Equal(available(v), "a")
}

// available names the upstreams that get requests.
func available(v *View) string {
	var out []string
	for _, u := range v.List().Upstreams {
		if !u.Leaving {
			out = append(out, u.ID)
		}
	}
	return strings.Join(out, " ")
}

// newReachedView returns a view that has reached its source and has a configuration.
func newReachedView(onUpstreams func(ListChange)) *View {
	v := newView(onUpstreams)
	v.SourceReached()
	v.SetConfiguration(7, []byte("seven"), time.Now())
	return v
}

func inForce(v *View) string {
	table, _ := v.Table()
	if table == nil {
		return ""
	}
	return table.Match("h", "/").Name
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	now := time.Now()
	is.Equal(inForce(v), "")
	v.SetConfiguration(7, []byte("seven"), now)
	v.SetConfiguration(6, []byte("six"), now.Add(time.Second))
	is.Equal(inForce(v), "seven")
	v.MergeConfiguration(Configuration{Revision: 5, Content: []byte("five")}, now.Add(time.Second), "p")
	is.Equal(inForce(v), "seven")
	v.MergeConfiguration(Configuration{Revision: 8, Content: []byte("eight")}, now, "p")
	is.Equal(inForce(v), "eight")
}

func TestInvalidConfigurationIsNotApplied(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.SetConfiguration(7, []byte("seven"), time.Now())
	v.SetConfiguration(8, nil, time.Now())
	is.Equal(inForce(v), "seven")
	is.Equal(v.Revision(), int64(7))
}

func TestAgeCountsFromTheNewestProof(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newView(nil)
		v.SetConfiguration(7, []byte("seven"), time.Now().Add(-time.Second))
		_, age := v.Table()
		is.Equal(age, time.Second)
		v.SetConfiguration(7, []byte("seven"), time.Now())
		v.MergeConfiguration(Configuration{Revision: 7}, time.Now().Add(-3*time.Second), "p") // older proof
		_, age = v.Table()
		is.Equal(age, time.Duration(0))
		<-time.After(5 * time.Second)
		_, age = v.Table()
		is.True(!v.IsUsable(age)) // the lease has expired
	})
}

// A watch that was sent long ago returns a change. The previous configuration was confirmed by a later
// read, so it contained every revocation until then; so does the new one.
func TestNewConfigurationKeepsLaterProof(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	proved := time.Now()
	v.SetConfiguration(7, []byte("seven"), proved)
	v.SetConfiguration(8, []byte("eight"), proved.Add(-8*time.Second))
	_, age := v.Table()
	is.True(v.IsUsable(age))
}

func ids(list []Upstream) (out []string) {
	for _, u := range list {
		out = append(out, u.ID)
	}
	return out
}

// An entry that has become unreadable hasn't lapsed: its upstream is removed at once, also while the
// list settles after an outage.
func TestUnreadableEntryIsRemovedAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := newReachedView(following(&list))
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		outage(v)
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 4, time.Now())
		is.Equal(ids(list), []string{"a", "b"}) // b may have lapsed
		v.ApplyChanges([]Change{{Unreadable: true, Upstream: Upstream{ID: "b", Revision: 3}}}, 4, time.Now())
		is.Equal(ids(list), []string{"a"})
		v.ApplyChanges([]Change{{Unreadable: true, Upstream: Upstream{ID: "a", Revision: 5}}}, 5, time.Now())
		is.Equal(len(list), 0)
	})
}

// For each change the log names the upstreams that it concerns. The list's age counts from the last
// read that showed it to be complete.
func TestLogNamesChangedUpstreams(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log strings.Builder
		v := New(Options{Source: source{}, Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(&log, "info", "test")})
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		<-time.After(2 * time.Second)
		v.ProveCurrent(2, time.Now())
		v.ProveCurrent(3, time.Now().Add(time.Second)) // the list may lack a change at 3
		<-time.After(time.Second)
		age, known := v.ListAge()
		is.True(known)
		is.Equal(age, time.Second)
		v.ApplyChanges([]Change{
			{Upstream: Upstream{ID: "a", Revision: 3, Leaving: true}}, {Upstream: Upstream{ID: "c", Revision: 4}}, {Removed: true, Upstream: Upstream{ID: "b", Revision: 5}},
		}, 5, time.Now())
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		is.True(strings.Contains(lines[0], `changed="a ready, b ready"`))
		is.True(strings.Contains(lines[1], `complete=5`))
		is.True(strings.Contains(lines[1], `changed="a leaving, b gone, c ready"`))
	})
}

// transfer merges one instance's list into another's, as after a request for it.
func transfer(from, to *View) {
	to.MergeUpstreams(from.List(), "p")
}

// Upstreams that have left must not get further requests from instances that receive the list from
// peers. They would if a list changed under its previous version, or if missing upstreams were sent as
// listed. Each case ends with what both must list after the peer has requested the list again.
func TestPeerReceivesEveryContentOfList(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(reader, receiver *View)
		want []string
	}{
		"read again without an upstream that wasn't the newest": {func(reader, receiver *View) {
			reader.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}, {ID: "c", Revision: 3}}, 3, time.Now())
			transfer(reader, receiver)
			reader.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "c", Revision: 3}}, 5, time.Now())
		}, []string{"a", "c"}},
		"a change older than the newest entry of a later page": {func(reader, receiver *View) {
			reader.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "z", Revision: 9}}, 5, time.Now())
			transfer(reader, receiver)
			reader.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "a", Revision: 7}}, {Upstream: Upstream{ID: "z", Revision: 9}}}, 9, time.Now())
		}, []string{"z"}},
		"missing after an outage, transferred, and dropped": {func(reader, receiver *View) {
			reader.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
			outage(reader)
			reader.SetUpstreams([]Upstream{{ID: "b", Revision: 2}, {ID: "c", Revision: 4}}, 5, time.Now())
			transfer(reader, receiver)
			<-time.After(3 * time.Second)
		}, []string{"b", "c"}},
		"removed here, and missing for the time being there": {func(reader, receiver *View) {
			list := []Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}
			reader.SetUpstreams(list, 2, time.Now())
			receiver.SetUpstreams(list, 2, time.Now())
			outage(reader)
			reader.SetUpstreams(list[1:], 4, time.Now())
			receiver.SetUpstreams(list[1:], 4, time.Now()) // which had no outage
			reader.ApplyChanges([]Change{{Upstream: Upstream{ID: "c", Revision: 6}}}, 6, time.Now())
			transfer(reader, receiver)
			<-time.After(3 * time.Second)
		}, []string{"b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				reader, receiver := newReachedView(nil), newReachedView(nil)
				c.run(reader, receiver)
				transfer(reader, receiver)
				synctest.Wait()
				is.Equal(ids(reader.List().Upstreams), c.want)
				is.Equal(ids(receiver.List().Upstreams), c.want)
			})
		})
	}
}

func TestOlderEntriesAreIgnored(t *testing.T) {
	is := is.New(t)
	var list []Upstream
	v := newView(following(&list))
	v.SourceReached()
	v.MergeUpstreams(List{Version: 8, Upstreams: []Upstream{{ID: "a", Revision: 5, Leaving: true}}}, "p")
	v.ApplyChanges([]Change{
		{Upstream: Upstream{ID: "a", Revision: 4}},
		{Upstream: Upstream{ID: "b", Revision: 6}}, // removed by 8
	}, 6, time.Now())
	is.Equal(ids(list), []string{"a"})
	is.True(list[0].Leaving)
	v.MergeUpstreams(List{Version: 7}, "p") // an older list
	is.Equal(ids(list), []string{"a"})
}
