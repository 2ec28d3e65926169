package lifecycle

import (
	"fmt"
	"net/http"
	"strings"
)

// closedRefusal is the caller API's refusal of a request that reaches an
// instance in the state Closed; the verb is its run statement. Nothing of the
// request is read before it.
const closedRefusal = `{"refused":true,"run":%q,"reason":{"kind":"shortage","shortage":"shutdown",` +
	`"detail":"the instance has shut down"},"retry_after_ms":0}` + "\n"

// runStatement is "unknown" for submissions: an earlier attempt with the same
// ticket may have run, and this instance no longer asks its issuer.
func runStatement(r *http.Request) string {
	if strings.HasSuffix(r.URL.Path, "/submit") {
		return "unknown"
	}
	return "not-run"
}

func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// The caller may have gone away; there is nobody else to tell.
	_, _ = fmt.Fprintf(w, closedRefusal, runStatement(r))
}
