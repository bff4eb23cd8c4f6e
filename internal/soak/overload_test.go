package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A surge after the faults, or a combination that no seed draws, would leave a part of the decisions
// under overload without a run.
func TestOverloadsCoverAllCombinations(t *testing.T) {
	is := is.New(t)
	const length = 4 * time.Second
	seen := map[[2]bool]bool{}
	for seed := range uint64(200) {
		o := NewOverload(seed, length)
		is.Equal(o, NewOverload(seed, length)) // decided by the seed
		is.True(o.SurgeAt >= 0 && o.SurgeAt+o.SurgeFor <= length)
		seen[[2]bool{o.Settings, o.SurgeFor > 0}] = true
	}
	is.Equal(len(seen), 4)
}
