package selection

const (
	// maxCredit bounds the credit that is saved for a burst of hedges or retries, in
	// first attempts.
	maxCredit = 2000
	// minRetryTokens lets a service with little traffic retry.
	minRetryTokens = 20
)

// hedgeBudget is the number of first attempts to which no hedge has been charged. Each
// request class sets its own fraction of hedges, so spend takes the fraction.
type hedgeBudget struct {
	credit float64 // in first attempts
}

func (b *hedgeBudget) earn() { b.credit = min(b.credit+1, maxCredit) }

func (b *hedgeBudget) spend(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	cost := 1 / fraction
	if b.credit < cost {
		return false
	}
	b.credit -= cost
	return true
}

// retryBudget is a token bucket. Each retry takes one token.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: minRetryTokens} }

func (b *retryBudget) earn(fraction float64) {
	limit := max(minRetryTokens, maxCredit*fraction)
	b.tokens = min(b.tokens+fraction, limit)
}

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
