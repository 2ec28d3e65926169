package selection

const (
	// maxCredit bounds, in first attempts, what can be saved for a burst.
	maxCredit = 2000
	// retryReserve lets a service with little traffic retry at all.
	retryReserve = 20
)

// hedgeBudget counts first attempts that no hedge has been charged to. The
// fraction of hedges is stated per request class, hence per call.
type hedgeBudget struct {
	credit float64 // first attempts
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

// retryBudget is a token bucket in retries.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: retryReserve} }

func (b *retryBudget) earn(fraction float64) {
	limit := max(retryReserve, maxCredit*fraction)
	b.tokens = min(b.tokens+fraction, limit)
}

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
