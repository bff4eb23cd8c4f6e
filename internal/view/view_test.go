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
	"github.com/tacktally/tacktally/internal/wait"
)

// source decodes a content as the name of its only route. Published are its entries by ID, and asked
// counts the reads of them; nil publishes none.
type source struct {
	published map[string]Upstream
	asked     map[string]int
}

func (s source) ReadEntry(_ context.Context, id string) (Change, error) {
	s.asked[id]++
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
			Timeout: time.Second, MaxAttempts: 1, Services: []routing.WeightedService{{Service: "s", Weight: 1}},
		}},
	}, nil
}

// newView returns a view that knows that no zone is evacuated, and nothing else.
func newView(onUpstreams func(ListChange)) *View {
	v := New(Options{
		Source: source{}, Lease: 5 * time.Second, SettlePeriod: 2 * time.Second, LapseAfter: 2 * time.Second, OnUpstreams: onUpstreams,
		Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(io.Discard, "error", "test"),
	})
	v.SetEvacuations(nil, 1)
	return v
}

// Two instances hold unlike lists under one version: one of them keeps what vanished, since it
// settles. Their logs show it.
func TestLogsTellUnlikeListsOfOneVersionApart(t *testing.T) {
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

// A list that had to be read anew says why, and how long that took.
func TestLogsTellWhyAListWasReadAnew(t *testing.T) {
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

// A list that was read page by page may hold what changed meanwhile, under the version of its first
// page. Once the change itself comes, the list has its version, so that peers that have none of it ask.
func TestAChangeThatIsKnownAlreadyRaisesTheVersion(t *testing.T) {
	is := is.New(t)
	paged, behind := newView(nil), newView(nil)
	paged.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 3, time.Now()) // b was removed at 4, before the last page
	behind.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 3, time.Now())
	paged.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "b", Revision: 4}}}, 4, time.Now())
	is.True(paged.ListVersion() > behind.ListVersion())
	behind.MergeUpstreams(paged.List(), "paged")
	is.Equal(ids(behind.List().Upstreams), []string{"a"})
}

// A peer of a version that doesn't tell the numbers of entries is believed by their revisions.
func TestEntriesWithoutANumberGoByTheirRevision(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.SetUpstreams([]Upstream{{ID: "a", Revision: 1, Sequence: 9, Incarnation: 7}}, 1, time.Now())
	v.MergeUpstreams(List{Version: 2, Upstreams: []Upstream{{ID: "a", Revision: 2, Leaving: true}}}, "older")
	is.True(v.List().Upstreams[0].Leaving)
}

// An upstream's answers say that it closes its connections, as those of one that leaves do, and the list
// hasn't heard. Its entry alone is read, once in a while; the list keeps its version, since nothing is
// known of what else has changed.
func TestTheWordOfAnUpstreamItselfIsLookedInto(t *testing.T) {
	for name, c := range map[string]struct {
		published map[string]Upstream
		left      string // what the list still offers
	}{
		"it leaves":                {map[string]Upstream{"b": {ID: "b", Revision: 9, Leaving: true}}, "a"},
		"it is gone":               {nil, "a"},
		"its entry makes no sense": {map[string]Upstream{"b": {ID: "b", Revision: 9, Slots: -1}}, "a"},
		"it stays":                 {map[string]Upstream{"b": {ID: "b", Revision: 2}}, "a b"},
		"its entry can't be read":  {map[string]Upstream{"b": {ID: "b"}}, "a b"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newView(nil)
				asked := map[string]int{}
				v.o.Source = source{published: c.published, asked: asked}
				list := []Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}
				v.SetUpstreams(list, 3, time.Now())
				for range 5 {
					v.RecheckUpstream("b")
					synctest.Wait()
				}
				is.Equal(asked["b"], 1)
				is.Equal(offered(v), c.left)
				is.Equal(v.ListVersion(), int64(3))
				v.MergeUpstreams(List{Version: 4, Upstreams: list}, "a peer that hasn't heard")
				is.Equal(offered(v), c.left)
				v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 12}}, 12, time.Now()) // it is back
				is.Equal(offered(v), "a b")
				wait.For(t.Context(), recheckInterval)
				v.RecheckUpstream("b")
				synctest.Wait()
				is.Equal(asked["b"], 2)
				v.RecheckUpstream("unknown")
				synctest.Wait()
				is.Equal(asked["unknown"], 0)
			})
		})
	}
}

// An entry that was read while another one came changes nothing.
func TestAnEntryThatWasReadTooEarlyChangesNothing(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 1, time.Now())
	read := v.List().Upstreams[0]
	v.ApplyChanges([]Change{{Upstream: Upstream{ID: "a", Revision: 2, Slots: 4}}}, 2, time.Now())
	v.upstreams.applyEntry(time.Now(), read, Change{Removed: true, Upstream: Upstream{ID: "a"}})
	is.Equal(offered(v), "a")
}

// offered names the upstreams that get requests.
func offered(v *View) string {
	var out []string
	for _, u := range v.List().Upstreams {
		if !u.Leaving {
			out = append(out, u.ID)
		}
	}
	return strings.Join(out, " ")
}

// inTouch returns a view that has reached its source and has a configuration.
func inTouch(onUpstreams func(ListChange)) *View {
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

func TestInvalidConfigurationLeavesWhatIsInForce(t *testing.T) {
	is := is.New(t)
	v := newView(nil)
	v.SetConfiguration(7, []byte("seven"), time.Now())
	v.SetConfiguration(8, nil, time.Now())
	is.Equal(inForce(v), "seven")
	is.Equal(v.Revision(), int64(7))
}

func TestAgeCountsFromTheNewestProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		is.True(!v.IsUsable(age)) // the lease is over
	})
}

// A watch that waited for long brings a change. The configuration before it was proved
// meanwhile, and holds all that was taken away until then; the new one does so too.
func TestAChangeKeepsTheAgeThatWasProved(t *testing.T) {
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

func TestEntriesThatLapseInAnOutageMayComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := inTouch(following(&list))
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}, {ID: "c", Revision: 3, Leaving: true}}, 3, time.Now())
		outage(v) // and nobody else reached it either
		v.SetUpstreams(nil, 6, time.Now())
		is.Equal(ids(list), []string{"a", "b"}) // c said that it leaves
		v.ApplyChanges([]Change{{Upstream: Upstream{ID: "a", Revision: 9}}}, 9, time.Now())
		<-time.After(2 * time.Second)
		synctest.Wait()
		is.Equal(ids(list), []string{"a"}) // b didn't come back
	})
}

// An instance that the source turned away, or that was cut off from it, heard from its
// peers that it was there. What it finds missing then is gone.
func TestEntriesThatVanishWhileAPeerReachedTheSourceAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := inTouch(following(&list))
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		v.SourceUnreachable("list", errors.New("turned away"))
		<-time.After(9 * time.Second)
		v.MergeConfiguration(Configuration{Revision: 7}, time.Now().Add(-time.Second), "p")
		v.SourceReached()
		v.SetUpstreams([]Upstream{{ID: "b", Revision: 2}}, 3, time.Now())
		is.Equal(ids(list), []string{"b"})
	})
}

// An instance alone found the source away, since its connections had gone silent, and keeps
// what it misses as after an outage for all. A peer that reached the source all the time says
// so: what is missing has left. One that reached it for a shorter time can't know.
func TestAPeerThatReachedTheSourceEndsTheWaitForWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := inTouch(following(&list))
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		outage(v)
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}}, 4, time.Now())
		is.Equal(ids(list), []string{"a", "b"})
		v.MergeSourceUptime(time.Second, "p")
		is.Equal(ids(list), []string{"a", "b"})
		v.MergeSourceUptime(2*time.Second, "p")
		is.Equal(ids(list), []string{"a"})
		v.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "a", Revision: 5}}}, 5, time.Now())
		is.Equal(len(list), 0) // it doesn't settle any more
	})
}

// An entry that can't be read any more hasn't lapsed: its upstream is out of use at once, also
// while the list settles after an outage.
func TestAnEntryThatBecomesUnreadableIsNotMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []Upstream
		v := inTouch(following(&list))
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

// Time counts as steady while proofs come without a gap in which entries may lapse.
func TestForHowLongTheSourceWasReachedAllTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newView(nil)
		proveFor := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); <-time.After(time.Second) {
				v.SetConfiguration(7, []byte("seven"), time.Now())
			}
		}
		is.Equal(v.SourceUptime(), time.Duration(0))
		proveFor(5 * time.Second)
		is.Equal(v.SourceUptime(), 5*time.Second)
		<-time.After(1500 * time.Millisecond)
		is.Equal(v.SourceUptime(), time.Duration(0)) // no proof for 2.5 s
		proveFor(3 * time.Second)
		is.Equal(v.SourceUptime(), 3*time.Second)
	})
}

func TestEntriesThatVanishWhileTheSourceAnswersAreGone(t *testing.T) {
	is := is.New(t)
	var list []Upstream
	v := newView(following(&list))
	v.SourceReached()
	v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
	v.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "a", Revision: 3}}}, 3, time.Now())
	is.Equal(ids(list), []string{"b"})
}

// The log says of each change which upstreams it concerns, and how old the list was.
func TestTheLogNamesWhatChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log strings.Builder
		v := New(Options{Source: source{}, Metrics: telemetry.NewMetrics(), Log: telemetry.NewLogger(&log, "info", "test")})
		v.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
		<-time.After(2 * time.Second)
		v.ProveCurrent(2, time.Now())
		v.ProveCurrent(3, time.Now().Add(time.Second)) // the list may lack what came at 3
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

// outage lets the source be away for long enough for entries to lapse.
func outage(v *View) {
	v.SourceUnreachable("list", errors.New("down"))
	<-time.After(3 * time.Second)
	v.SourceReached()
}

// handOver gives one instance's list to another, as when it asks for it.
func handOver(from, to *View) {
	to.MergeUpstreams(from.List(), "p")
}

// Upstreams that had left went on getting requests from instances that learn the list from
// others: it had changed at the others under the version that it had before, or was handed
// over with what was missing from it as if it were there. Each case ends with what both must
// list after the peer has asked again.
func TestAPeerLearnsEveryContentOfAList(t *testing.T) {
	for name, c := range map[string]struct {
		play func(reads, learns *View)
		want []string
	}{
		"read anew without an upstream that wasn't the newest": {func(reads, learns *View) {
			reads.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}, {ID: "c", Revision: 3}}, 3, time.Now())
			handOver(reads, learns)
			reads.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "c", Revision: 3}}, 5, time.Now())
		}, []string{"a", "c"}},
		"a change older than the newest entry of a later page": {func(reads, learns *View) {
			reads.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "z", Revision: 9}}, 5, time.Now())
			handOver(reads, learns)
			reads.ApplyChanges([]Change{{Removed: true, Upstream: Upstream{ID: "a", Revision: 7}}, {Upstream: Upstream{ID: "z", Revision: 9}}}, 9, time.Now())
		}, []string{"z"}},
		"missing after an outage, handed over, and given up": {func(reads, learns *View) {
			reads.SetUpstreams([]Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}, 2, time.Now())
			outage(reads)
			reads.SetUpstreams([]Upstream{{ID: "b", Revision: 2}, {ID: "c", Revision: 4}}, 5, time.Now())
			handOver(reads, learns)
			<-time.After(3 * time.Second)
		}, []string{"b", "c"}},
		"given up here, and missing for the time being there": {func(reads, learns *View) {
			list := []Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}
			reads.SetUpstreams(list, 2, time.Now())
			learns.SetUpstreams(list, 2, time.Now())
			outage(reads)
			reads.SetUpstreams(list[1:], 4, time.Now())
			learns.SetUpstreams(list[1:], 4, time.Now()) // no outage for it
			reads.ApplyChanges([]Change{{Upstream: Upstream{ID: "c", Revision: 6}}}, 6, time.Now())
			handOver(reads, learns)
			<-time.After(3 * time.Second)
		}, []string{"b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reads, learns := inTouch(nil), inTouch(nil)
				c.play(reads, learns)
				handOver(reads, learns)
				synctest.Wait()
				is.Equal(ids(reads.List().Upstreams), c.want)
				is.Equal(ids(learns.List().Upstreams), c.want)
			})
		})
	}
}

func TestOlderNewsOfAnUpstreamChangesNothing(t *testing.T) {
	is := is.New(t)
	var list []Upstream
	v := newView(following(&list))
	v.SourceReached()
	v.MergeUpstreams(List{Version: 8, Upstreams: []Upstream{{ID: "a", Revision: 5, Leaving: true}}}, "p")
	v.ApplyChanges([]Change{
		{Upstream: Upstream{ID: "a", Revision: 4}},
		{Upstream: Upstream{ID: "b", Revision: 6}}, // gone by 8
	}, 6, time.Now())
	is.Equal(ids(list), []string{"a"})
	is.True(list[0].Leaving)
	v.MergeUpstreams(List{Version: 7}, "p") // an older list
	is.Equal(ids(list), []string{"a"})
}
