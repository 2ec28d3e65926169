package lifecycle

import (
	"io"
	"net/http"
)

// closedRefusal is the caller API's refusal of a request that reaches an
// instance in the state Closed. Nothing of the request is read before it.
const closedRefusal = `{"refused":true,"run":"not-run","reason":{"kind":"shortage","shortage":"shutdown",` +
	`"detail":"the instance has shut down"},"retry_after_ms":0}` + "\n"

func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// The caller may have gone away; there is nobody else to tell.
	_, _ = io.WriteString(w, closedRefusal)
}
