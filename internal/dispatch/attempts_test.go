package dispatch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/pool"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// No byte is written on a grant that was requested before a pause, after the deadline, or once the
// request is quarantined.
func TestNoWriteAfterPauseDeadlineOrQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		since time.Duration // between the request for the grant and the write
		alive bool          // the pause detector runs meanwhile
		left  time.Duration // until the deadline, when the grant is requested
		want  error
	}{
		"immediately":       {0, true, time.Minute, nil},
		"after a while":     {10 * time.Second, true, time.Minute, nil},
		"after a pause":     {pause.Threshold + 1, false, time.Minute, errPaused},
		"past the deadline": {2 * time.Second, true, time.Second, context.DeadlineExceeded},
		"quarantined":       {0, true, time.Minute, quarantine.ErrQuarantined},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := pause.NewDetector()
				ctx, end := context.WithCancel(t.Context())
				defer end() // otherwise the ticker keeps virtual time running
				if c.alive {
					go d.Run(ctx)
				}
				registry := quarantine.New(telemetry.NewLogger(io.Discard, "error", "test"), nil)
				a := &attempts{
					dispatcher: &Dispatcher{o: Options{Gate: &pause.Gate{Detector: d}, Quarantine: registry}},
					request:    &request.Request{Deadline: time.Now().Add(c.left)},
					generation: d.Generation(),
				}
				if name == "quarantined" {
					for _, upstream := range []string{"1", "2", "3"} {
						registry.RecordLostResponse(time.Now(), upstream, a.identity, false)
						registry.RecordCrash(time.Now(), upstream)
					}
				}
				<-time.After(c.since) // virtual time
				is.Equal(a.checkBeforeWrite(), c.want)
			})
		})
	}
}

func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	is := is.New(t)
	b := retrybudget.New(retrybudget.Options{Share: 0.1, Initial: initialRetryBudget, Max: maxRetryBudget})
	granted := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			granted++
		}
	}
	is.True(granted >= 100 && granted <= 100+initialRetryBudget) // a tenth of the requests, and the initial budget
	for range 10_000 {
		b.Deposit()
	}
	granted = 0
	for b.Withdraw() {
		granted++
	}
	is.Equal(granted, maxRetryBudget) // the retries saved up are bounded
}

// An organisation gets back the granted tokens that its request didn't use.
func TestUnusedTokensAreReturned(t *testing.T) {
	is := is.New(t)
	r := &request.Request{PromptTokens: 100, MaxOutputTokens: 50}
	refused := answer.End{Problem: api.Refuse(api.ReasonQueueFull, "full")}
	lost := answer.End{Problem: api.UnknownOutcome(api.ReasonUpstreamLost, "lost")}
	is.Equal((&attempts{request: r, outputTokens: 20}).unused(answer.End{}), 30)
	is.Equal((&attempts{request: r}).unused(refused), 150)
	is.Equal((&attempts{request: r, outputTokens: 60}).unused(lost), 0)
	is.Equal((&attempts{request: r, spilled: true}).unused(answer.End{}), 0)
}

// Guards against a deadlock: a new list sends a long prompt, which triggers a heartbeat that reads
// the queues while SetInstances runs.
func TestNewListThatSendsALongPromptDoesNotDeadlock(t *testing.T) {
	is := is.New(t)
	var d *Dispatcher
	announced := make(chan struct{}, 9)
	d = New(Options{
		Zone: "bole", Subset: 48, Limits: queue.Limits{MaxItems: 99, MaxBytes: 1 << 20},
		Announce: func() {
			d.Queued(1)
			d.Pending()
			announced <- struct{}{}
		},
	})
	list := []platform.Instance{{Address: "10.0.0.1:1", Zone: "bole", Set: "readers", State: platform.Live}}
	d.SetInstances(list)
	p := d.pool("readers")
	submit := func(prompt int) chan pool.Decision {
		decisions := make(chan pool.Decision, 1)
		now := time.Now()
		r := &scheduler.Request{Organisation: "a", Share: 1, Arrived: now, Deadline: now.Add(time.Hour), PromptTokens: prompt, MaxOutput: 1, Value: decisions}
		p.Apply(func(now time.Time, core *scheduler.Core) scheduler.Decisions { return core.Submit(now, r) })
		return decisions
	}
	for len(submit(1)) > 0 { // until a request has to wait
	}
	long := submit(100_000)
	is.Equal(len(long), 0)
	done := make(chan struct{})
	go func() {
		list = append(list, platform.Instance{Address: "10.0.0.2:1", Zone: "bole", Set: "readers", State: platform.Live})
		list = append(list, platform.Instance{Address: "10.0.0.3:1", Zone: "bole", Set: "readers", State: platform.Live})
		d.SetInstances(list)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("SetInstances never returned")
	}
	is.Equal(len(long), 1)
	is.True(len(announced) > 0)
}
