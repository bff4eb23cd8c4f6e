package proxy

import (
	"errors"
	"fmt"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/membudget"
)

// bufferMemoryShare is the share of the process's memory that unfinished parts of responses may take together: events,
// bodies that are buffered until they are complete, and failures that are kept while another upstream is tried.
const bufferMemoryShare = 0.125

// bodyMemoryShare is the share of the process's memory that the bodies of callers may take together. A body is held
// until its request ends, so that it can be sent again.
const bodyMemoryShare = 0.25

// errOutOfMemory means that a response wasn't read on, since those of other requests take the memory for such parts.
var errOutOfMemory = fmt.Errorf("%w: an unfinished part is large", exchange.ErrInvalidResponse)

// outOfMemory adds errOutOfMemory to membudget.ErrExhausted; other errors are returned unchanged.
func outOfMemory(err error) error {
	if errors.Is(err, membudget.ErrExhausted) {
		return fmt.Errorf("%w; %w", errOutOfMemory, err)
	}
	return err
}

// newMemory returns a share of a process's memory, in bytes, as a budget; nil if that memory is 0.
func newMemory(share float64, memoryBytes int64) *membudget.Budget {
	if memoryBytes == 0 {
		return nil
	}
	return membudget.New(int64(share * float64(memoryBytes)))
}
