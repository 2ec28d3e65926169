package lifecycle

import "net/http"

// Handler returns next for the listener of callers: it counts requests and,
// while the instance drains, closes each connection after its reply, so that
// kept-alive connections move to other instances.
func (l *Lifecycle) Handler(next http.Handler) http.Handler {
	return l.counted(func(w http.ResponseWriter, r *http.Request, state State) {
		if state == Draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// PeerHandler returns next for the listener of other instances: it counts
// requests and leaves connections open, since instances learn of the drain from
// the messages themselves and open few connections.
func (l *Lifecycle) PeerHandler(next http.Handler) http.Handler {
	return l.counted(func(w http.ResponseWriter, r *http.Request, _ State) { next.ServeHTTP(w, r) })
}

func (l *Lifecycle) counted(serve func(http.ResponseWriter, *http.Request, State)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state, ok := l.enter()
		if !ok {
			refuse(w, r)
			return
		}
		// Deferred, so that a panic of the handler leaves the count right.
		defer l.leave()
		serve(w, r, state)
	})
}
