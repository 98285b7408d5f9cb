package router

import "sync"

// burst is how many attempts again the budget holds at most, and at the start.
const burst = 10

// budget allows further attempts as a share of the recent successes. It is one
// for all requests of an entry, whichever hop failed.
type budget struct {
	share float64

	mu sync.Mutex
	// tokens is between 0 and burst.
	tokens float64
}

func newBudget(share float64) *budget {
	return &budget{
		share:  share,
		tokens: burst,
	}
}

// earn books a success.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+b.share)
}

// spend reports whether a further attempt may be made, and books it.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
