package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordSimultaneousCrashes records as many crashes as are stored, within 64 ms, with as many suspects each, of
// different prompts that share some segments, from a number of organisations.
func recordSimultaneousCrashes(r *Registry, organisations int) {
	for n := range maxCrashes {
		var there []string
		for k := range maxSuspects {
			organisation := (n*maxSuspects + k) % organisations
			there = append(there, fmt.Sprintf("o%d/%d-%d:F%c%c", organisation, n, k, rune(20000+n*100+k), rune(40000+k%8)))
		}
		promptCrash(r, start.Add(time.Duration(n)*time.Millisecond), fmt.Sprint(n), there...)
	}
}

// Measures how long requests wait for the registry after the loss of a machine or zone.
func BenchmarkVerdictOnSimultaneousCrashes(b *testing.B) {
	for _, organisations := range []int{1, 200} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			r := newRegistry(true)
			recordSimultaneousCrashes(r, organisations)
			q := prompt("z:F")
			for i := range b.N {
				r.verdictDue, r.nextVerdict = start.Add(time.Hour), time.Time{}
				r.Remaining(start.Add(settleTime+100*time.Millisecond+time.Duration(i)), q)
			}
		})
	}
}

// Guards against requests that wait for the registry, since each change of the evidence of many crashes causes an
// examination of all of it.
func TestLargeEvidenceIsNotExaminedAtEachChange(t *testing.T) {
	is := is.New(t)
	r := newRegistry(true)
	promptCrash(r, start, "small", "a:F", "b:F")
	r.Remaining(start, prompt("z:F"))
	promptCrash(r, start.Add(1), "other", "c:F")
	is.True(!r.nextVerdict.After(start.Add(1))) // little evidence is examined at once

	recordSimultaneousCrashes(r, 1)
	at := start.Add(time.Second)
	r.Remaining(at, prompt("z:F"))
	is.Equal(r.lastVerdict, at)
	promptCrash(r, at, "one more", "d:F")
	r.Remaining(at.Add(settleTime-1), prompt("z:F"))
	is.Equal(r.lastVerdict, at)
	r.Remaining(at.Add(settleTime), prompt("z:F"))
	is.Equal(r.lastVerdict, at.Add(settleTime))
}
