package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// The platform's bound on arrivals at a service beyond the first of each request, as
// the settings of the processes state it.
const (
	extraRatio     = 0.2
	extraAllowance = 50
	extraWindow    = 10 * time.Second
)

// longerThanCaller is by how much a server may be told to work longer than the caller
// waits.
const longerThanCaller = 500 * time.Millisecond

// judgeLoad checks what has reached the servers: the extra arrivals of each service in
// any window, and the time that servers were given.
func judgeLoad(servers []*platformtest.Server, answers []answer) (problems []string) {
	arrivals := map[string][]platformtest.Arrival{}
	for _, s := range servers {
		arrivals[s.Service] = append(arrivals[s.Service], s.Arrivals()...)
	}
	once := 0
	for _, a := range answers {
		if a.path == "/once/x" {
			once++
		}
	}
	for service, list := range arrivals {
		requests := len(answers) - once
		if service == "one" {
			requests = once
		}
		if extra, bound := mostExtra(list), extraRatio*float64(requests)+extraAllowance; float64(extra) > bound {
			problems = append(problems, fmt.Sprintf("service %s: %d extra arrivals in %v, %.0f allowed", service, extra, extraWindow, bound))
		}
		for _, a := range list {
			// Requests at the end of the soak have ids of their own and the same patience.
			if a.Timeout <= 0 || a.Timeout > patience+longerThanCaller {
				problems = append(problems, fmt.Sprintf("service %s: request %s was given %v", service, a.RequestID, a.Timeout))
			}
		}
	}
	slices.SortFunc(problems, strings.Compare)
	return problems
}

// mostExtra is the greatest number of arrivals beyond the first of each request in a
// window.
func mostExtra(list []platformtest.Arrival) int {
	slices.SortFunc(list, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	var extras []time.Time
	for _, a := range list {
		if seen[a.RequestID] {
			extras = append(extras, a.At)
		}
		seen[a.RequestID] = true
	}
	most := 0
	for first, last := 0, 0; last < len(extras); last++ {
		for extras[last].Sub(extras[first]) > extraWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
