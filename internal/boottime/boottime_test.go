package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimeNeverDecreases(t *testing.T) {
	is := is.New(t)
	last, suspended := Now(), Suspended()
	for range 1000 {
		now, s := Now(), Suspended()
		is.True(!now.Before(last))
		is.True(s >= suspended)
		last, suspended = now, s
	}
	is.True(Since(last) >= 0)
	is.True(Until(last.Add(time.Hour)) > 59*time.Minute)
	is.True(time.Since(ToMonotonic(last)) < time.Hour)
	is.True(ToMonotonic(time.Time{}).IsZero())
}
