package lifecycle

import (
	"fmt"
	"net/http"
)

// Readiness returns a handler that answers 200 in the state Ready and 503
// otherwise, with the name of the state. Its requests do not count as in flight.
func (l *Lifecycle) Readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		state := l.State()
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if state != Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintln(w, state)
	})
}
