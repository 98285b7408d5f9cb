package router

import "sync"

// maxRetryTokens is the most retries that the budget holds. The budget starts full.
const maxRetryTokens = 10

// retryBudget limits retries to a share of the recent successes. All requests of
// an entry draw from the same budget, whichever hop failed.
type retryBudget struct {
	tokensPerSuccess float64

	mu sync.Mutex
	// tokens is the number of retries allowed now, between 0 and maxRetryTokens.
	tokens float64
}

func newRetryBudget(tokensPerSuccess float64) *retryBudget {
	return &retryBudget{
		tokensPerSuccess: tokensPerSuccess,
		tokens:           maxRetryTokens,
	}
}

// recordSuccess adds the share of a token that a success earns.
func (b *retryBudget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+b.tokensPerSuccess)
}

// takeToken takes a token for a retry, and reports whether there was one.
func (b *retryBudget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
