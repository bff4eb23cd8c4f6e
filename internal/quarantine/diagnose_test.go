package quarantine

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

func TestDiagnosisByConnectionChecks(t *testing.T) {
	accepts := func(context.Context) error { return nil }
	refuses := func(context.Context) error { return fmt.Errorf("dial: %w", syscall.ECONNREFUSED) }
	silent := func(context.Context) error { return errors.New("no response in time") }
	checks := 0
	closing := func(context.Context) error { // closes its port after its connections
		if checks++; checks == 1 {
			return nil
		}
		return syscall.ECONNREFUSED
	}
	for name, c := range map[string]struct {
		upstream   ConnectionCheck
		neighbours []ConnectionCheck
		want       Diagnosis
	}{
		"it accepts connections":                    {accepts, []ConnectionCheck{accepts}, Alive},
		"it does not respond":                       {silent, []ConnectionCheck{accepts}, Unreached},
		"it refuses":                                {refuses, []ConnectionCheck{accepts}, Terminated},
		"it refuses, and so does one of two others": {refuses, []ConnectionCheck{refuses, accepts}, Terminated},
		"it refuses, and there are no others":       {refuses, nil, Terminated},
		"all refuse":                                {refuses, []ConnectionCheck{refuses, refuses}, Inconclusive},
		"it refuses, the others do not respond":     {refuses, []ConnectionCheck{silent}, Inconclusive},
		"it refuses at the second check":            {closing, []ConnectionCheck{accepts}, Terminated},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				is.New(t).Equal(Diagnose(t.Context(), c.upstream, c.neighbours), c.want)
			})
		})
	}
}
