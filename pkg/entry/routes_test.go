package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a plain-text reply that a caller's JSON client cannot read, and
// against the statement that a submission has not run because its path is wrong.
func TestUnknownRoutesAreRefusedInJSON(t *testing.T) {
	e, _ := newTestEntry(t)
	cases := []struct {
		method, path string
		status       int
		run          RunStatement
	}{
		{http.MethodGet, "/", http.StatusNotFound, NotRun},
		{http.MethodPost, "/v1/office/renewal-search/find", http.StatusNotFound, NotRun},
		{http.MethodPost, "/v1/office/fee-ledger/submit/", http.StatusNotFound, RunUnknown},
		{http.MethodPost, "/v1/office/fee-ledger/submit/again", http.StatusNotFound, RunUnknown},
		{http.MethodGet, "/v1/office/renewal-search/search", http.StatusMethodNotAllowed, NotRun},
		{http.MethodGet, "/v1/office/fee-ledger/tickets", http.StatusMethodNotAllowed, NotRun},
		{http.MethodPut, "/v1/office/fee-ledger/submit", http.StatusMethodNotAllowed, RunUnknown},
	}
	for _, c := range cases {
		reply, refusal := expectRefusal(t, e, c.method, c.path)
		assert.Equal(t, reply.Code, c.status, c.path)
		assert.Equal(t, refusal.Run, c.run, c.path)
		assert.Equal(t, refusal.Reason.Kind, ReasonInvalid, c.path)
		assert.Equal(t, reply.Header().Get("Allow") != "", c.status == http.StatusMethodNotAllowed, c.path)
	}
}
