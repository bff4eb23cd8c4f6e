package gossip

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestSelectBoundsRecentAndCyclesThroughOlder(t *testing.T) {
	is := is.New(t)
	recent, older := []string{"a", "b", "c"}, []string{"p", "q", "r", "s", "t"}
	cursor := 0
	sent := map[string]int{}
	for range 5 {
		selected := Select(recent, older, 2, 2, &cursor)
		is.Equal(len(selected), 4)
		is.True(slices.Equal(selected[:2], []string{"a", "b"}))
		for _, name := range selected[2:] {
			sent[name]++
		}
	}
	for _, name := range older {
		is.Equal(sent[name], 2)
	}
	is.Equal(recent, []string{"a", "b", "c"}) // the result doesn't share memory with the input
	is.Equal(Select(nil, older[:1], 2, 2, &cursor), []string{"p"})
	is.Equal(len(Select[string](nil, nil, 2, 2, &cursor)), 0)
}
