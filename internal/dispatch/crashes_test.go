package dispatch

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/scheduler"
)

// Guards against a leaving engine that has closed its port and is taken for crashed, so that the requests which it has
// answered become suspects.
func TestTerminationOfALeavingEngineIsNoCrash(t *testing.T) {
	request := quarantine.Request{Key: quarantine.Key{Digest: 1}}
	for name, c := range map[string]struct {
		leaves, breaksOff, crash bool
	}{
		"leaving":                                {leaves: true},
		"leaving, and a response has broken off": {leaves: true, breaksOff: true, crash: true},
		"not leaving":                            {crash: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, _ := newScriptedAttempts(t, nil, newStreamRequest(false))
			d := a.dispatcher
			d.o.OnQuarantineChange = func() {}
			closed, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			address := closed.Addr().String()
			is.NoErr(closed.Close())
			d.members = map[string][]scheduler.Member{"readers": {{Address: address}}}
			d.leaving = map[string]time.Time{}
			d.o.Quarantine.RecordUnstatedEnd(time.Now(), address, request, false)
			if c.breaksOff {
				d.o.Quarantine.RecordLostResponse(time.Now(), address, request, false)
			}
			if c.leaves {
				d.MarkLeaving(address)
			}
			d.diagnose("readers", address)
			is.Equal(d.o.Quarantine.HasCrashed(time.Now(), time.Time{}, address), c.crash)
		})
	}
}
