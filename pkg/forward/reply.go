package forward

import (
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// Reply is a complete reply of a backend server.
type Reply struct {
	Status int
	Header http.Header // without hop-by-hop fields
	Body   []byte
	Proof  string // lets the caller verify that the server has run the request; may be empty
	NotRun bool   // the server states that it has not run the request
	// PromisesNotRun is set when callers take the status for the promise that the request has
	// not run. If the server does not state that, the reply must not reach them.
	PromisesNotRun bool
	// Misdirected is set when the address now belongs to another server than the one asked
	// for (HTTP 421); NotRun is then set too.
	Misdirected bool
	Notice      replicas.Notice // what the server states about itself
	// ServerDown is set if the end of the connection was that of the reply, which a server that
	// goes down leaves as well. It reports after a while whether the server is down.
	ServerDown func() bool
}

// mayBePassedOn reports whether the status is as true for the caller as it is for this
// instance.
func (r *Reply) mayBePassedOn() bool { return !r.PromisesNotRun }

// success reports whether the reply holds a result with a proof.
func (r *Reply) success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Proof != ""
}
