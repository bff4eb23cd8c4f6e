package idempotency

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

var limits = Limits{Lifetime: time.Minute, MaxEntries: 3, MaxAnswerBytes: 10}

func TestOnlyTheIssuingIncarnationVerifiesAKey(t *testing.T) {
	is := is.New(t)
	clock := NewClock()
	issuer := NewIssuer("10.0.0.1:7003", NewIncarnation(), clock)
	otherIssuer := NewIssuer("10.0.0.1:7003", issuer.Incarnation(), clock)
	key := issuer.Issue("gebremedhin", "booking-7", time.Minute)
	c, err := issuer.Verify(key)
	is.NoErr(err)
	is.Equal(c.Organisation, "gebremedhin")
	is.Equal(c.RequestID, "booking-7")
	is.True(issuer.Owns(c))
	_, err = otherIssuer.Verify(key) // another secret, as after a restart
	is.Equal(err, ErrForged)
	body, mac, _ := strings.Cut(key, ".")
	_, err = issuer.Verify(body + "x." + mac)
	is.True(err != nil)
	_, err = Parse("booking-7")
	is.Equal(err, ErrNotIssued)
	is.True(key != issuer.Issue("gebremedhin", "booking-7", time.Minute)) // each key is unique
}

// Attempts under keys, in virtual time.
func TestKeyIsDispatchedOnceAndRetriesJoin(t *testing.T) {
	type step struct {
		wait        time.Duration
		key         string
		org         string
		fingerprint byte
		first       bool
		reason      api.Reason
		finish      string       // body written to the response
		problem     *api.Problem // end of the response, after finish
	}
	refused := api.Refuse(api.ReasonQueueFull, "full")
	for name, steps := range map[string][]step{
		"a retry joins": {{key: "a", first: true}, {key: "a"}},
		"a retry after the end gets the response":   {{key: "a", first: true, finish: "1234"}, {key: "a"}},
		"another body is refused":                   {{key: "a", first: true}, {key: "a", fingerprint: 1, reason: api.ReasonKeyMismatch}},
		"another organisation is refused":           {{key: "a", first: true, finish: "1234"}, {key: "a", org: "x", reason: api.ReasonKeyMismatch}},
		"a refused key stays refused":               {{key: "a", first: true, problem: refused}, {key: "a"}},
		"an expired key never runs":                 {{wait: time.Minute, key: "a", reason: api.ReasonKeyExpired}},
		"an expired use is removed":                 {{key: "a", first: true, finish: "1"}, {wait: time.Minute, key: "a", reason: api.ReasonKeyExpired}},
		"a running use outlives its key":            {{key: "a", first: true}, {wait: 2 * time.Minute, key: "a"}},
		"the oldest response is evicted":            {{key: "a", first: true, finish: "123456"}, {key: "b", first: true, finish: "123456"}, {key: "a", reason: api.ReasonAnswerEvicted}, {key: "b"}},
		"a response over the limit is not retained": {{key: "a", first: true, finish: "12345678901"}, {key: "a", reason: api.ReasonAnswerEvicted}},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := NewRegistry(limits, NewClock())
				for _, s := range steps {
					<-time.After(s.wait) // virtual time
					b, first, problem := r.Begin(Use{Key: s.key, Organisation: "o" + s.org, Fingerprint: Fingerprint{s.fingerprint}, Expiry: limits.Lifetime})
					if s.reason != "" {
						is.Equal(problem.Reason, s.reason)
						continue
					}
					is.True(problem == nil)
					is.Equal(first, s.first)
					if s.finish != "" {
						is.NoErr(b.Write(t.Context(), []byte(s.finish)))
					}
					if s.finish != "" || s.problem != nil {
						b.Finish(answer.End{Problem: s.problem})
					}
				}
			})
		})
	}
}

func TestIssuedKeysAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry(limits, NewClock())
		for i := range limits.MaxEntries {
			is.True(r.Reserve(fmt.Sprint(i)) == nil)
			<-time.After(time.Second) // virtual time
		}
		p := r.Reserve("another")
		is.Equal(p.Reason, api.ReasonKeyLimit)
		is.Equal(p.RetryAfterSeconds, 57) // until the first key expires
		<-time.After(57 * time.Second)    // virtual time
		is.True(r.Reserve("another") == nil)
		is.Equal(r.Stats().Reserved, limits.MaxEntries)
	})
}

func TestOneOrganisationCannotReserveAllKeys(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(Limits{Lifetime: time.Minute, MaxEntries: 10}, NewClock())
	for range 5 {
		is.True(r.Reserve("large") == nil)
	}
	is.Equal(r.Reserve("large").Reason, api.ReasonKeyLimit)
	is.True(r.Reserve("small") == nil)
}

func FuzzParse(f *testing.F) {
	issuer := NewIssuer("10.0.0.1:7003", 9, NewClock())
	f.Add(issuer.Issue("gebremedhin", "", time.Minute))
	f.Add("ttk1.AA.AA")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := issuer.Verify(text); err == nil && !strings.HasPrefix(text, keyPrefix) {
			t.Error("verified a text that isn't a key")
		}
	})
}
