package lifecycle

import "net/http"

// Handler wraps next for the listener of callers. It counts requests and, while
// the instance drains, closes each connection after its reply, so that keep-alive
// connections move to other instances. It refuses requests after the accept timeout.
func (l *Lifecycle) Handler(next http.Handler) http.Handler {
	return l.countRequests(Refusing, func(w http.ResponseWriter, r *http.Request, state State) {
		if state == Draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// PeerHandler wraps next for the listener of other instances. It counts requests
// but leaves connections open: other instances are told of the drain by messages,
// and they open few connections.
func (l *Lifecycle) PeerHandler(next http.Handler) http.Handler {
	return l.countRequests(Closed, func(w http.ResponseWriter, r *http.Request, _ State) { next.ServeHTTP(w, r) })
}

// countRequests returns a handler that counts each request as in flight while
// serve runs, and refuses it when the state is refusedFrom or later.
func (l *Lifecycle) countRequests(refusedFrom State, serve func(http.ResponseWriter, *http.Request, State)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state, ok := l.beginRequest(refusedFrom)
		if !ok {
			w.Header().Set("Connection", "close")
			l.config.Refuse.ServeHTTP(w, r)
			return
		}
		// Deferred, so that the count stays correct when the handler panics.
		defer l.endRequest()
		serve(w, r, state)
	})
}
