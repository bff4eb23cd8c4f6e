package dispatch

import "sync"

const (
	// budgetFloor lets a quiet instance retry now and then.
	budgetFloor = 5
	// budgetCeiling bounds what can be saved up.
	budgetCeiling = 100
)

// retryBudget lets a share of the first attempts be retried, so that retries
// don't multiply a burst. Safe for concurrent use.
type retryBudget struct {
	mu    sync.Mutex
	share float64
	saved float64
}

func newRetryBudget(share float64) *retryBudget {
	return &retryBudget{share: share, saved: budgetFloor}
}

// deposit records a first attempt.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, budgetCeiling)
}

// withdraw takes one retry, if the budget has it.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
