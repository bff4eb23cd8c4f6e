package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Upstreams and peers keep file descriptors, no matter how many callers connect.
func TestCallerConnectionsUseAShareOfTheDescriptors(t *testing.T) {
	for files, want := range map[int]int{4200: 2400, 4100: 2340, 8192: 4795, 201: 1} {
		is.New(t).Equal(maxCallerConnections(files), want)
	}
}
