package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

func TestSharedBoundsFindTheWorstWindow(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &SharedBounds{Window: 8 * time.Second, Requests: 6, RetryShare: 0.2, Retries: 2}
		for i := range 20 { // one in each 2 s, and its retry
			b.Sent()
			is.True(b.Reached(fmt.Sprint(i)))
			if i%2 == 0 {
				is.True(!b.Reached(fmt.Sprint(i)))
			}
			<-time.After(2 * time.Second)
		}
		violations, _ := b.Check()
		is.Equal(len(violations), 0)
		for i := range 3 {
			b.Reached(fmt.Sprint("more ", i))
			b.Reached(fmt.Sprint("more ", i))
		}
		violations, summary := b.Check()
		is.Equal(violations, []string{"retries within 8s exceed those that are allowed by 1"})
		is.Equal(summary, "20 requests sent, 23 reached an upstream, 13 retries; within 8s at most 6 requests and 4 retries")
		b.Reached("one more")
		violations, _ = b.Check()
		is.Equal(len(violations), 2)
	})
}
