package routing

import "sync"

// Weights distributes the requests of each route among its services in proportion to their
// weights. The state of a route survives a new table if its choices are unchanged. Weights
// is safe for concurrent use.
type Weights struct {
	mu     sync.Mutex
	routes map[string]*roundRobin // by route name
}

// roundRobin is a smooth weighted round robin: each pick adds every weight to the credit of
// its choice, takes the choice with the most credit and subtracts the sum of the weights
// from it. Short sequences then keep the proportions too.
type roundRobin struct {
	choices []Choice
	credits []int
}

// NewWeights returns a Weights without any requests distributed.
func NewWeights() *Weights {
	return &Weights{routes: make(map[string]*roundRobin)}
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
		r = &roundRobin{choices: route.Choices, credits: make([]int, len(route.Choices))}
		w.routes[route.Name] = r
	}
	return r.next()
}

func (r *roundRobin) next() string {
	best, total := 0, 0
	for i, choice := range r.choices {
		r.credits[i] += choice.Weight
		total += choice.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= total
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
