package entry

import (
	"net/http"
	"slices"
	"strings"
)

// addFallbacks answers paths and methods that the caller API does not have, so
// that a caller gets a refusal in JSON for them as well.
func (e *Entry) addFallbacks(mux *http.ServeMux) {
	for _, verb := range []string{"search", "tickets", "submit"} {
		mux.HandleFunc("/v1/{team}/{service}/"+verb, e.traced("entry.unknown", refuseMethod))
	}
	mux.HandleFunc("/", e.traced("entry.unknown", refusePath))
}

func refusePath(_ http.ResponseWriter, r *http.Request, _ call) (any, error) {
	refusal := invalid(http.StatusNotFound, "there is no "+r.URL.Path+"; paths are /v1/TEAM/SERVICE/search, tickets and submit")
	refusal.Run = runOfPath(r.URL.Path)
	return nil, refusal
}

func refuseMethod(w http.ResponseWriter, r *http.Request, _ call) (any, error) {
	w.Header().Set("Allow", http.MethodPost)
	refusal := invalid(http.StatusMethodNotAllowed, "the method is "+r.Method+", this path takes POST")
	refusal.Run = runOfPath(r.URL.Path)
	return nil, refusal
}

// runOfPath does not say that nothing has run when the path names a submission:
// an earlier attempt at it may have been a correct one.
func runOfPath(path string) RunStatement {
	if slices.Contains(strings.Split(path, "/"), "submit") {
		return Unknown
	}
	return NotRun
}
