package lifecycle

import (
	"fmt"
	"net/http"
	"strings"
)

// closedRefusalFormat is the reply of the caller API to a request that reaches an
// instance in the state Closed. Its verb is the run state. The instance reads
// nothing of the request before this reply.
const closedRefusalFormat = `{"refused":true,"run":%q,"reason":{"kind":"shortage","shortage":"shutdown",` +
	`"detail":"the instance has shut down"},"retry_after_ms":0}` + "\n"

// runStateOf returns the run state of a request that a closed instance refuses. It
// is "unknown" for a submission, because an earlier attempt with the same ticket
// may have run and a closed instance no longer asks the issuer of the ticket.
func runStateOf(r *http.Request) string {
	if strings.HasSuffix(r.URL.Path, "/submit") {
		return "unknown"
	}
	return "not-run"
}

func writeRefusal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// A write fails when the caller has gone away; nobody else needs the error.
	_, _ = fmt.Fprintf(w, closedRefusalFormat, runStateOf(r))
}
