package entry

import (
	"net/http"
	"slices"
	"strings"
)

// addFallbacks registers handlers for unknown paths and methods, so that callers
// get a JSON refusal instead of the plain text of http.ServeMux.
func (e *Entry) addFallbacks(mux *http.ServeMux) {
	for _, operation := range []string{"search", "tickets", "submit"} {
		mux.HandleFunc("/v1/{team}/{service}/"+operation, e.instrument("entry.unknown", refuseMethod))
	}
	mux.HandleFunc("/", e.instrument("entry.unknown", refusePath))
}

func refusePath(_ http.ResponseWriter, r *http.Request, _ call) (any, error) {
	refusal := invalidRefusal(http.StatusNotFound, "there is no "+r.URL.Path+"; paths are /v1/TEAM/SERVICE/search, tickets and submit")
	refusal.Run = runStatementOfPath(r.URL.Path)
	return nil, refusal
}

func refuseMethod(w http.ResponseWriter, r *http.Request, _ call) (any, error) {
	w.Header().Set("Allow", http.MethodPost)
	refusal := invalidRefusal(http.StatusMethodNotAllowed, "the method is "+r.Method+", this path takes POST")
	refusal.Run = runStatementOfPath(r.URL.Path)
	return nil, refusal
}

// runStatementOfPath returns RunUnknown for paths that name a submission, because
// an earlier attempt with the correct path or method may have run.
func runStatementOfPath(path string) RunStatement {
	if slices.Contains(strings.Split(path, "/"), "submit") {
		return RunUnknown
	}
	return NotRun
}
