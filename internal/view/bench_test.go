package view

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkListChange changes one entry, in lists of the largest size in use, six times that, and the
// target size.
func BenchmarkListChange(b *testing.B) {
	for _, upstreams := range []int{168, 1_000, 10_000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			v := newView(nil)
			list := make([]Upstream, upstreams)
			for i := range list {
				list[i] = Upstream{ID: fmt.Sprintf("i-%010x", i), Revision: int64(i + 1), Slots: 8}
			}
			revision := int64(upstreams)
			v.SetUpstreams(list, revision, time.Now())
			u := list[0]
			for b.Loop() {
				revision++
				u.Revision, u.Leaving = revision, !u.Leaving
				v.ApplyChanges([]Change{{Upstream: u}}, revision, time.Now())
			}
		})
	}
}
