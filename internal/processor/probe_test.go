package processor

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProbeReportsTheDelayOfItsLastByte(t *testing.T) {
	is := is.New(t)
	p, err := newProbe()
	is.NoErr(err)
	defer p.close()
	now := time.Now()
	is.Equal(p.measure(now.Add(-time.Hour)), time.Duration(0)) // nothing was written before
	for len(p.delays) == 0 {
		runtime.Gosched() // until the byte was read
	}
	is.True(p.measure(now) >= time.Hour)
	is.True(len(p.sent) <= 1)
}
