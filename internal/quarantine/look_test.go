package quarantine

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

func TestWhatALookFinds(t *testing.T) {
	accepts := func(context.Context) error { return nil }
	refuses := func(context.Context) error { return fmt.Errorf("dial: %w", syscall.ECONNREFUSED) }
	silent := func(context.Context) error { return errors.New("no answer in time") }
	looked := 0
	closing := func(context.Context) error { // its port is closed after its connections
		if looked++; looked == 1 {
			return nil
		}
		return syscall.ECONNREFUSED
	}
	for name, c := range map[string]struct {
		upstream   Probe
		neighbours []Probe
		finding    Finding
	}{
		"it takes connections":                  {accepts, []Probe{accepts}, Lives},
		"nothing comes back":                    {silent, []Probe{accepts}, Lives},
		"it refuses":                            {refuses, []Probe{accepts}, Ended},
		"it refuses, as one of two others does": {refuses, []Probe{refuses, accepts}, Ended},
		"it refuses, and there are no others":   {refuses, nil, Ended},
		"all refuse":                            {refuses, []Probe{refuses, refuses}, InDoubt},
		"the others are silent":                 {refuses, []Probe{silent}, InDoubt},
		"it refuses at the second look":         {closing, []Probe{accepts}, Ended},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is.New(t).Equal(Look(t.Context(), c.upstream, c.neighbours), c.finding)
			})
		})
	}
}
