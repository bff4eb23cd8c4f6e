package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/prefix"
)

// prompt returns a request by its description: a name that is unique to it, a colon, and its shared segments, a
// letter each. The organisation "crews" sends it, or that before a slash.
func prompt(text string) Request {
	organisation, rest, found := strings.Cut(text, "/")
	if !found {
		organisation, rest = "crews", text
	}
	name, letters, _ := strings.Cut(rest, ":")
	var segments []prefix.Segment
	for _, letter := range letters {
		segments = append(segments, prefix.Segment{ID: uint64(letter)})
	}
	return RequestOf(KeyOf(organisation, "POST", "h", "/"+name, nil), append(segments, prefix.Segment{ID: 0}))
}

// promptCrash records the crash of an upstream with the given requests. A + stands for a response that had
// started.
func promptCrash(b *Registry, at time.Time, upstream string, requests ...string) {
	for _, text := range requests {
		text, started := strings.CutSuffix(text, "+")
		b.RecordLostResponse(at, upstream, prompt(text), started)
	}
	b.RecordCrash(at, upstream)
}

// answered records the complete response to a request, which began at the same time.
func answered(b *Registry, at time.Time, text string) { b.RecordCompletion(at, prompt(text), at) }

func TestWhichSegmentsAreQuarantined(t *testing.T) {
	// An event is a crash every second, or a complete response if it begins with "ok ".
	for name, c := range map[string]struct {
		events      []string
		quarantined string // descriptions of requests
		free        string
	}{
		"two crashes are not enough":                         {[]string{"1:P", "2:P"}, "", "9:P"},
		"three crashes":                                      {[]string{"1:P", "2:P", "3:P"}, "9:P 9:FP", "9: 9:F others/9:P"},
		"started responses, four crashes":                    {[]string{"1:P+", "2:P+", "3:P+", "4:P+"}, "", "9:P"},
		"started responses, five crashes":                    {[]string{"1:P+", "2:P+", "3:P+", "4:P+", "5:P+"}, "9:P", "9:F"},
		"one request, repeated":                              {[]string{"1:P", "1:P", "1:P", "1:P"}, "1:P", "9:P"},
		"two requests, repeated":                             {[]string{"1:P", "1:P", "2:P", "2:P"}, "9:P", ""},
		"after different segments":                           {[]string{"1:AP", "2:BP", "3:CP"}, "9:DP 9:P", "9:A"},
		"two that always come together":                      {[]string{"1:FP", "2:FP", "3:FP"}, "9:FP 9:FGP", "9:F 9:P"},
		"one of them answered afterwards":                    {[]string{"1:FP", "2:FP", "3:FP", "ok 4:F"}, "9:FP 9:P", "9:F"},
		"one of them answered in between":                    {[]string{"1:FP", "ok 4:F", "2:FP", "3:FP"}, "9:FP 9:P", "9:F"},
		"then without the other, and ends":                   {[]string{"1:FP", "2:FP", "3:FP", "4:GP"}, "9:P 9:FP", "9:F 9:G"},
		"others beside it":                                   {[]string{"1:FP a:FQ+ b:G+", "2:FP c:FR+ d:G+", "3:FP e:FQ f:H"}, "9:FP", "9:F 9:FQ 9:G 9:H"},
		"as often as a sound one":                            {[]string{"1:P a:G", "2:P b:G", "3:P c:G"}, "", "9:P 9:G"},
		"the sound one answered":                             {[]string{"1:P a:G", "2:P b:G", "3:P c:G", "ok 4:G"}, "9:P", "9:G"},
		"sound one answered before":                          {[]string{"ok 4:G", "1:P a:G", "2:P b:G", "3:P c:G"}, "9:P", "9:G"},
		"as often at five crashes":                           {[]string{"1:P a:G", "2:P b:G", "3:P c:G", "4:P d:G", "5:P e:G"}, "9:P 9:G", ""},
		"answered in between":                                {[]string{"1:P", "2:P", "ok 4:P", "3:P"}, "", "9:P"},
		"two organisations":                                  {[]string{"a/1:P", "b/2:P", "a/3:P"}, "a/9:P b/9:P c/9:P", "a/9:F"},
		"one organisation, then another":                     {[]string{"a/1:P", "a/2:P", "a/3:P", "b/4:P"}, "a/9:P b/9:P c/9:P", "b/9:F"},
		"another answers them":                               {[]string{"ok b/4:P", "a/1:P", "a/2:P", "a/3:P", "a/5:P", "a/6:P", "b/7:P", "ok b/8:P"}, "a/9:P", "b/9:P c/9:P"},
		"two culprits":                                       {[]string{"1:P", "2:Q", "3:P", "4:Q", "5:P", "6:Q"}, "9:P 9:Q", "9:F"},
		"one request, beside a sound segment":                {[]string{"1:P a:G", "1:P b:G", "1:P c:G"}, "1:P", "9:P 9:G"},
		"a sound request, repeated beside it":                {[]string{"1:P x:", "2:P x:", "3:P"}, "9:P", "x:"},
		"a sound request, at each crash":                     {[]string{"1:P x:", "2:P x:", "3:P x:"}, "x:", "9:P"},
		"and then at none":                                   {[]string{"1:P x:", "2:P x:", "3:P x:", "4:P"}, "9:P", "x:"},
		"one request, beside another with its segment":       {[]string{"1:G", "1:G", "1:G 2:G+"}, "1:G", "9:G"},
		"one request, beside one of another organisation":    {[]string{"a/1:G", "a/1:G", "a/1:G b/2:G+"}, "a/1:G", "a/9:G b/9:G"},
		"one request, then another with its segment":         {[]string{"1:G", "1:G", "2:G"}, "1:G 9:G", "9:F"},
		"answered before, in prompts of other organisations": {[]string{"ok b/8:G", "a/1:G", "a/2:G", "a/3:G"}, "", "a/9:G"},
		"beside one request, then in another":                {[]string{"1:A 2:G", "1:A", "3:G", "3:G"}, "1:A 3:G", "9:G"},
		"the last segment alone":                             {[]string{"1:", "2:", "3:", "4:"}, "", "9: 9:P"},
	} {
		for _, examine := range []string{"at the end", "after each event"} {
			t.Run(name+", "+examine, func(t *testing.T) {
				b := newRegistry(true)
				now := start
				for i, event := range c.events {
					now = now.Add(time.Second)
					if text, ok := strings.CutPrefix(event, "ok "); ok {
						answered(b, now, text)
					} else {
						promptCrash(b, now, fmt.Sprint(i), strings.Fields(event)...)
					}
					if examine != "at the end" {
						b.Remaining(now.Add(settleTime), prompt("unrelated:"))
					}
				}
				now = now.Add(settleTime)
				for _, text := range strings.Fields(c.quarantined) {
					if b.Remaining(now, prompt(text)) == 0 {
						t.Errorf("%s isn't quarantined", text)
					}
				}
				for _, text := range strings.Fields(c.free) {
					if b.Remaining(now, prompt(text)) > 0 {
						t.Errorf("%s is quarantined", text)
					}
				}
			})
		}
	}
}

// A response that an upstream had begun before the first crash says nothing about what its segments do now.
func TestOnlyResponsesBegunSinceTheCrashClearASegment(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	for i := range 3 {
		promptCrash(b, start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), fmt.Sprint(i, ":P"))
	}
	now := start.Add(3 * time.Second)
	is.True(b.Remaining(now, prompt("9:P")) > 0)
	is.True(!b.RecordCompletion(now, prompt("8:P"), start.Add(-time.Second)))
	is.True(!b.RecordResponse(now, prompt("8:P"))) // a failure, or an incomplete one
	is.True(b.Remaining(now, prompt("9:P")) > 0)
	is.True(b.RecordCompletion(now, prompt("8:P"), now.Add(-time.Second)))
	is.Equal(b.Remaining(now, prompt("9:P")), time.Duration(0))
}

// The loss of many upstreams at once has a cause of its own, whatever prompts they were answering. Crashes that
// all have one segment in common count each, also if they follow closely.
func TestSimultaneousCrashesCountOnceAgainstASegmentThatWasNotAtAll(t *testing.T) {
	for name, everywhere := range map[string]bool{"at four of ten": false, "at all": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRegistry(true)
			for i := range 10 {
				text := fmt.Sprint(i, ":Q")
				if everywhere || i%3 == 0 {
					text = fmt.Sprint(i, ":P")
				}
				promptCrash(b, start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), text)
			}
			is.Equal(b.Remaining(start.Add(time.Second), prompt("9:P")) > 0, everywhere)
		})
	}
}

// A sound request that was at several crashes beside a crashing segment may be quarantined before the segment is
// known. The verdict on the segment ends that.
func TestBystanderIsReleasedWhenASegmentExplainsItsCrashes(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	for i := range 3 {
		promptCrash(b, start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), fmt.Sprint(i, ":P"), "bystander:")
	}
	now := start.Add(2*time.Second + settleTime)
	is.True(b.Remaining(now, prompt("bystander:")) > 0) // nothing else explains the crashes as narrowly
	promptCrash(b, start.Add(3*time.Second), "last", "4:P")
	now = start.Add(3*time.Second + settleTime)
	is.Equal(b.Remaining(now, prompt("bystander:")), time.Duration(0))
	is.True(b.Remaining(now, prompt("9:P")) > 0)
}

// After the period one instance lets one probe through, whichever request it is; if it crashes an upstream, the
// next period is longer.
func TestOneProbeIsLetThroughAfterTheQuarantineOfASegment(t *testing.T) {
	is := is.New(t)
	owner, other := newRegistry(true), newRegistry(false)
	for _, b := range []*Registry{owner, other} {
		for i := range 3 {
			promptCrash(b, start.Add(time.Duration(i-2)*time.Second), fmt.Sprint(i), fmt.Sprint(i, ":P"))
		}
		is.Equal(b.Admit(start.Add(time.Second), prompt("9:P")), initialPeriod-time.Second)
	}
	over := start.Add(initialPeriod)
	is.Equal(other.Admit(over, prompt("9:P")), probeTimeout)
	is.Equal(owner.Admit(over, prompt("9:P")), time.Duration(0))
	is.Equal(owner.Remaining(over, prompt("9:P")), time.Duration(0)) // the probe may go on
	is.Equal(owner.Admit(over.Add(time.Second), prompt("10:P")), probeTimeout)
	promptCrash(owner, over.Add(2*time.Second), "later", "9:P")
	is.Equal(owner.Remaining(over.Add(2*time.Second), prompt("11:P")), periodFactor*initialPeriod)
	other.Merge(over.Add(2*time.Second), owner.NextUpdate(over.Add(2*time.Second)))
	is.Equal(other.Remaining(over.Add(2*time.Second), prompt("11:P")), periodFactor*initialPeriod)
}

// Instances see different crashes and responses and exchange updates in any order, late or twice. All reach the
// same verdict: the crashing segment, and not the first one of its prompts, which others are answered with.
func TestInstancesAgreeOnSegmentsWhateverTheOrderOfUpdates(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		registries := []*Registry{newRegistry(false), newRegistry(false), newRegistry(false)}
		for crash := range 4 {
			at := start.Add(time.Duration(crash) * time.Second)
			for i, b := range registries {
				there := []string{fmt.Sprintf("n%d-%d:G+", crash, i)}
				if i == crash%len(registries) {
					there = append(there, fmt.Sprintf("%d:FP", crash))
				}
				promptCrash(b, at, fmt.Sprint(crash), there...)
			}
		}
		now := start.Add(4 * time.Second)
		answered(registries[random.IntN(3)], now, "sound:F")
		for range 400 {
			from, to := random.IntN(3), random.IntN(3)
			content, err := cbor.Marshal(registries[from].NextUpdate(now))
			if err != nil {
				t.Fatal(err)
			}
			var update Update
			if err := cbor.Unmarshal(content, &update); err != nil || !update.IsValid() {
				t.Fatalf("invalid update: %v", err)
			}
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond) // message delay
			registries[to].Merge(now, &update)
		}
		for i, b := range registries {
			for text, want := range map[string]bool{"9:FP": true, "9:P": true, "9:F": false, "9:G": false} {
				if b.Remaining(now, prompt(text)) > 0 != want {
					t.Errorf("seed %d: at instance %d, quarantined %s: %t", seed, i, text, !want)
				}
			}
		}
	}
}

func TestSharedSegmentsOfAPrompt(t *testing.T) {
	is := is.New(t)
	var list []prefix.Segment
	for id := range uint64(2 * maxSegments) {
		list = append(list, prefix.Segment{ID: 100 - id})
	}
	is.Equal(len(RequestOf(Key{}, list).Segments), maxSegments)
	is.True(slices.IsSorted(RequestOf(Key{}, list).Segments))
	is.Equal(RequestOf(Key{}, list[:3]).Segments, []uint64{99, 100})
	is.Equal(len(RequestOf(Key{}, list[:1]).Segments), 0)
	is.Equal(RequestOf(Key{}, []prefix.Segment{{ID: 7}, {ID: 7}, {ID: 8}}).Segments, []uint64{7})
}

// The most evidence that fits in the registry must stay within what peers accept.
func TestUpdatesWithSegmentsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newRegistry(true)
	for i := range 2 * maxCrashes {
		for n := range 2 * maxSuspects {
			var list []prefix.Segment
			for s := range 2 * maxSegments {
				list = append(list, prefix.Segment{ID: uint64(1)<<63 + uint64(i*100000+n*1000+s)})
			}
			b.RecordLostResponse(start, fmt.Sprint(i), RequestOf(Key{Organisation: "crews", Digest: uint64(i*1000 + n)}, list), false)
		}
		b.RecordCrash(start, fmt.Sprint(i))
	}
	update := b.NextUpdate(start)
	is.True(update.IsValid())
	encoded, err := cbor.Marshal(update)
	is.NoErr(err)
	is.True(len(encoded) < 64<<10)
}
