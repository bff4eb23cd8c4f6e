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
		upstream   ConnectionCheck
		neighbours []ConnectionCheck
		finding    Diagnosis
	}{
		"it takes connections":                  {accepts, []ConnectionCheck{accepts}, Alive},
		"nothing comes back":                    {silent, []ConnectionCheck{accepts}, Alive},
		"it refuses":                            {refuses, []ConnectionCheck{accepts}, Terminated},
		"it refuses, as one of two others does": {refuses, []ConnectionCheck{refuses, accepts}, Terminated},
		"it refuses, and there are no others":   {refuses, nil, Terminated},
		"all refuse":                            {refuses, []ConnectionCheck{refuses, refuses}, Inconclusive},
		"the others are silent":                 {refuses, []ConnectionCheck{silent}, Inconclusive},
		"it refuses at the second look":         {closing, []ConnectionCheck{accepts}, Terminated},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is.New(t).Equal(Diagnose(t.Context(), c.upstream, c.neighbours), c.finding)
			})
		})
	}
}
