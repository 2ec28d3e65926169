package forward

import "net/http"

// Reply is a whole reply of a backend server.
type Reply struct {
	Status int
	Header http.Header // without the fields that concern only one connection
	Body   []byte
	Proof  string // by which the caller knows that the server has run the request
	NotRun bool   // the server states that it has not run the request
	// Misplaced states that another server than the one asked for has the address;
	// NotRun is set too.
	Misplaced bool
}

// success reports whether the reply holds a proven result.
func (r *Reply) success() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Proof != ""
}
