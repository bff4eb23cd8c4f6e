package gossip

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestWhatIsFreshIsBoundedAndTheRestComesInTurn(t *testing.T) {
	is := is.New(t)
	fresh, rest := []string{"a", "b", "c"}, []string{"p", "q", "r", "s", "t"}
	turn := 0
	heard := map[string]int{}
	for range 5 {
		told := Select(fresh, rest, 2, 2, &turn)
		is.Equal(len(told), 4)
		is.True(slices.Equal(told[:2], []string{"a", "b"}))
		for _, name := range told[2:] {
			heard[name]++
		}
	}
	for _, name := range rest {
		is.Equal(heard[name], 2)
	}
	is.Equal(fresh, []string{"a", "b", "c"}) // what is picked is the caller's own
	is.Equal(Select(nil, rest[:1], 2, 2, &turn), []string{"p"})
	is.Equal(len(Select[string](nil, nil, 2, 2, &turn)), 0)
}
