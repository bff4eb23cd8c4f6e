package faults

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// An instance that refuses a request before it has contacted the issuer of its key can't know whether
// another attempt ran, so that the outcome is unknown.
func TestRefusalWithoutIssuerIsNeverNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Callers.MaxInFlight = 1 }, "fort", "fort")
	issuer, other := f.daemons[0], f.daemons[1]
	key := issuer.issue()
	again := call{path: releasePath, body: "a", key: key}
	is.Equal(issuer.send(again).body, service.ResponseBody("a"))
	uncertain := func(r reply, reason api.Reason) {
		t.Helper()
		is.Equal(r.problem.Reason, reason)
		is.Equal(r.outcome, api.Unknown)
		is.Equal(r.problem.AttemptOutcome, api.NotRun)
	}
	tierless := again
	tierless.tier = "gold"
	uncertain(other.send(tierless), api.ReasonTierNotAllowed)
	// The issuer itself is full.
	arrived, hold := make(chan service.Call), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	held := make(chan reply)
	go func() { held <- issuer.send(call{path: lookupPath, body: "b"}) }()
	<-arrived
	uncertain(issuer.send(again), api.ReasonQueueFull)
	close(hold)
	<-held
	// The instance has no configuration yet.
	f.platform.SetDown(true)
	partition(issuer, other)
	other.kill()
	other.start()
	f.eventually("the instance listens", func() bool { return other.send(again).status != 0 })
	uncertain(other.send(again), api.ReasonNoConfiguration)
	is.Equal(f.runCount("a"), 1)
}

// A caller-chosen ID runs at most once: only an attempt that is marked as the first one may run, and
// retries find it at any instance.
func TestCallerChosenIDs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "fort", "fort", "pettah")
	first, other := f.daemons[0], f.daemons[2]
	for name, c := range map[string]struct {
		before, send *call // before is sent to first, then send to other
		reason       api.Reason
		runs         int
	}{
		"first attempt runs":                    {nil, &call{attempt: "1"}, "", 1},
		"a retry finds it elsewhere":            {&call{attempt: "1"}, &call{attempt: "2"}, "", 1},
		"an unmarked attempt finds it":          {&call{attempt: "1"}, &call{}, "", 1},
		"OpenAI's retry count marks it":         {nil, &call{header: map[string]string{api.HeaderRetryCount: "0"}}, "", 1},
		"a retry of an unknown ID":              {nil, &call{attempt: "2"}, api.ReasonNotFirstAttempt, 0},
		"an unmarked attempt of an unknown ID":  {nil, &call{}, api.ReasonNotFirstAttempt, 0},
		"another body under the ID":             {&call{attempt: "1"}, &call{attempt: "2", body: "changed"}, api.ReasonKeyMismatch, 1},
		"not allowed to the other organisation": {nil, &call{attempt: "1", apiKey: otherKey}, api.ReasonKeyRequired, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := "id of " + name
			with := func(c *call) call {
				c.path, c.key = releasePath, id
				if c.body == "" {
					c.body = name
				}
				return *c
			}
			if c.before != nil {
				is.Equal(first.send(with(c.before)).body, service.ResponseBody(name))
			}
			r := other.send(with(c.send))
			is.Equal(r.problem.Reason, c.reason)
			if c.reason == "" {
				is.Equal(r.body, service.ResponseBody(name))
			}
			is.Equal(f.runCount(name), c.runs)
			is.Equal(f.runCount("changed"), 0)
		})
	}
}

// A caller without a key receives one with status 428, and has to send the request once more with it.
func TestKeyIsIssuedWith428(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	r := f.daemons[0].send(call{path: releasePath, body: "a"})
	is.Equal(r.status, http.StatusPreconditionRequired)
	is.Equal(r.outcome, api.NotRun)
	key := r.problem.IdempotencyKey
	is.Equal(f.daemons[1].send(call{path: releasePath, body: "a", key: key}).body, service.ResponseBody("a"))
	for name, c := range map[string]call{
		"another body":         {path: releasePath, body: "b", key: key},
		"another organisation": {path: releasePath, body: "a", key: key, apiKey: otherKey},
	} {
		for _, p := range f.daemons {
			is.Equal(p.send(c).problem.Reason, api.ReasonKeyMismatch) // no other request or organisation sees the response
		}
		_ = name
	}
	forged := key[:len(key)-4] + "AAAA"
	is.Equal(f.daemons[0].send(call{path: releasePath, body: "f", key: forged}).problem.Reason, api.ReasonKeyInvalid)
	is.Equal(f.runCount("a"), 1)
	is.Equal(f.runCount("b")+f.runCount("f"), 0)
}

// Guards against a request that runs after its caller was told that it won't: an instance that is cut off from the issuer
// of a key knows the process that was there before, and took the issuer for gone.
func TestIssuerThatStartedBehindAPartitionIsNotTakenForGone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	f.waitLinked()
	issuer, other := f.daemons[0], f.daemons[1]
	partition(issuer, other)
	issuer.kill()
	issuer.start()
	issuer.waitReady()
	c := call{path: releasePath, body: "a", key: issuer.issue(), timeout: 10 * time.Second}
	r := other.send(c)
	is.Equal(r.problem.Reason, api.ReasonIssuerUnreachable)
	is.Equal(r.outcome, api.Unknown)
	is.Equal(r.problem.AttemptOutcome, api.NotRun)
	is.Equal(issuer.send(c).body, service.ResponseBody("a"))
	heal(issuer, other)
	f.waitLinked()
	is.Equal(other.send(c).body, service.ResponseBody("a")) // joins the run
	is.Equal(f.runCount("a"), 1)
}

// Guards against a request that counts as perhaps run though it was never sent: one under a key that has expired unused.
func TestExpiredKeyTellsThatTheAttemptDidNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Idempotency.KeyLifetime = settings.Duration(time.Millisecond) }, "fort", "fort")
	f.waitLinked()
	key := f.daemons[0].issue()
	for _, p := range f.daemons {
		var r reply
		f.eventually("the key has expired", func() bool {
			r = p.send(call{path: releasePath, body: "a", key: key})
			return r.problem.Reason == api.ReasonKeyExpired
		})
		is.Equal(r.outcome, api.Unknown)
		is.Equal(r.problem.AttemptOutcome, api.NotRun)
	}
}

// Nothing runs twice after a restart of all instances, and nothing that may have run is told not-run: keys name a process,
// and an ID that nobody has seen is run only as a first attempt.
func TestRestartOfAllInstancesRunsNothingTwice(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort", "pettah")
	f.waitLinked()
	again := []call{
		{path: releasePath, body: "ran", key: f.daemons[0].issue()},
		{path: releasePath, body: "unused", key: f.daemons[2].issue()},
		{path: releasePath, body: "chosen", key: "an ID", attempt: "1"},
	}
	is.Equal(f.daemons[1].send(again[0]).body, service.ResponseBody("ran"))
	is.Equal(f.daemons[1].send(again[2]).body, service.ResponseBody("chosen"))
	for _, p := range f.daemons {
		p.kill()
	}
	for _, p := range f.daemons {
		p.start()
	}
	// Also while the instances don't know each other, the configuration or the list yet.
	for n := range 3 {
		if n == 1 {
			for _, p := range f.daemons {
				p.waitReady()
			}
		}
		if n == 2 {
			f.waitLinked()
		}
		for _, p := range f.daemons {
			f.eventually("the instance listens", func() bool { return p.send(call{path: "/"}).status != 0 })
			for _, c := range again {
				for _, attempt := range []string{"", "2"} {
					c.attempt, c.timeout = attempt, 10*time.Second
					is.Equal(p.send(c).outcome, api.Unknown)
				}
			}
		}
	}
	is.Equal(f.runCount("ran"), 1)
	is.Equal(f.runCount("chosen"), 1)
	is.Equal(f.runCount("unused"), 0)
}
