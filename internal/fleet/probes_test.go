package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/quarantine"
)

// An instance that had no reply from the owner of a group of quarantined requests let probes through, too, so that
// they reached, and crashed, two upstreams in place of one.
func TestOneInstanceLetsProbesThroughWhileItsRepliesAreLate(t *testing.T) {
	is := is.New(t)
	all := instances(7)
	for i := range all {
		all[i].Settled = true
	}
	key := quarantine.Key{Organisation: "crews", Digest: 7}
	owning := func(silent string) (n int) {
		for _, i := range all {
			f := fleetOf(i.Address, all)
			if i.Address != silent {
				f.owners.markUnresponsive(silent, time.Now())
			}
			if f.OwnsProbes(key) {
				n++
			}
		}
		return n
	}
	for _, i := range all {
		is.Equal(owning(i.Address), 1)
	}
}
