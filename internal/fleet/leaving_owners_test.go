package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// While a whole fleet is replaced at once all instances are leaving. No instance owned anything then, and each
// decided alone, with as much as an owner may grant.
func TestShardsAndBucketsHaveAnOwnerWhileAllInstancesAreLeaving(t *testing.T) {
	for _, k := range []shardKey{{service: "s"}, {service: "buckets", settledOnly: true}} {
		t.Run(k.service, func(t *testing.T) {
			is := is.New(t)
			all := instances(5)
			for i := range all {
				all[i].MayOwn, all[i].Settled = false, true
			}
			for _, i := range all {
				is.Equal(fleetOf(i.Address, all).ownersOf(k), fleetOf(all[0].Address, all).ownersOf(k))
			}
			is.Equal(len(fleetOf(all[0].Address, all).ownersOf(k)), maxOwners)
			all[3].MayOwn = true
			is.Equal(fleetOf(all[0].Address, all).ownersOf(k), []string{all[3].Address}) // one that stays comes first
		})
	}
}
