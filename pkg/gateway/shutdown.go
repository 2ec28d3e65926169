package gateway

import (
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// RefuseShutdown refuses a request because this instance shuts down. The request has not
// run; its caller may send it to another instance at once.
func (g *Gateway) RefuseShutdown(w http.ResponseWriter, r *http.Request) {
	e := g.newExchange(r)
	g.finish(w, r, &e, &forward.Answer{Refusal: &forward.Refusal{
		Reason: forward.ShuttingDown, NotRun: true, RetryAfter: forward.ShutdownRetryAfter,
	}})
}
