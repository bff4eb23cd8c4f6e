package transfer

import (
	"fmt"
	"testing"
)

// BenchmarkTransfer measures the processor time at a sender, once a version and base, and at a
// receiver, and the bytes sent. The base has the given routes; the content has 1,400 more, or one.
func BenchmarkTransfer(b *testing.B) {
	for _, routes := range []int{45, 1445, 5000} {
		for _, more := range []int{1, 1400} {
			base, content := configuration(1, routes, 1), configuration(2, routes+more, 1)
			encoded, err := encode(base, content)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("encode/%d+%d", routes, more), func(b *testing.B) {
				for b.Loop() {
					_, _ = encode(base, content)
				}
				b.ReportMetric(float64(len(content)), "whole-bytes")
				b.ReportMetric(float64(len(encoded)), "sent-bytes")
			})
			b.Run(fmt.Sprintf("decode/%d+%d", routes, more), func(b *testing.B) {
				for b.Loop() {
					_, _ = decode(base, encoded)
				}
			})
		}
	}
}
