package routing

import "sync"

// Weights distributes requests among the choices of routes in the stated
// proportions. Its state survives a new table as long as a route's choices stay
// the same. It is safe for concurrent use.
type Weights struct {
	mu     sync.Mutex
	routes map[string]*rotation // by route name
}

// rotation is smooth weighted round robin: each pick adds every weight to its
// balance and takes the highest, so that short runs keep the proportions too.
type rotation struct {
	choices  []Choice
	balances []int
}

// NewWeights returns weights without state.
func NewWeights() *Weights {
	return &Weights{routes: make(map[string]*rotation)}
}

// Pick returns the service for the next request of a route that is not sharded.
func (w *Weights) Pick(route *Route) string {
	if len(route.Choices) == 1 {
		return route.Choices[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.routes[route.Name]
	if r == nil || !sameChoices(r.choices, route.Choices) {
		r = &rotation{choices: route.Choices, balances: make([]int, len(route.Choices))}
		w.routes[route.Name] = r
	}
	return r.next()
}

func (r *rotation) next() string {
	best, total := 0, 0
	for i, choice := range r.choices {
		r.balances[i] += choice.Weight
		total += choice.Weight
		if r.balances[i] > r.balances[best] {
			best = i
		}
	}
	r.balances[best] -= total
	return r.choices[best].Service
}

func sameChoices(a, b []Choice) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
