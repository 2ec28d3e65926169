package routing

import "sync"

// WeightedRoundRobin distributes the requests of each route among its services in
// proportion to their weights. The state of a route survives a new table if the services
// and weights of the route are unchanged. It is safe for concurrent use.
type WeightedRoundRobin struct {
	mu     sync.Mutex
	routes map[string]*roundRobin // by route name
}

// roundRobin is a smooth weighted round robin: each pick adds every weight to the credit of
// its service, takes the service with the most credit and subtracts the sum of the weights
// from it. Short sequences then keep the proportions too.
type roundRobin struct {
	services []WeightedService
	credits  []int
}

// NewWeightedRoundRobin returns a WeightedRoundRobin that has distributed no requests.
func NewWeightedRoundRobin() *WeightedRoundRobin {
	return &WeightedRoundRobin{routes: make(map[string]*roundRobin)}
}

// Pick returns the service for the next request of a route that is not sharded.
func (w *WeightedRoundRobin) Pick(route *Route) string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.routes[route.Name]
	if r == nil || !sameServices(r.services, route.WeightedServices) {
		r = &roundRobin{services: route.WeightedServices, credits: make([]int, len(route.WeightedServices))}
		w.routes[route.Name] = r
	}
	return r.next()
}

func (r *roundRobin) next() string {
	best, total := 0, 0
	for i, service := range r.services {
		r.credits[i] += service.Weight
		total += service.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= total
	return r.services[best].Service
}

func sameServices(a, b []WeightedService) bool {
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
