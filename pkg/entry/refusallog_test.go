package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that an operator cannot trace from its request id to
// the signed rule or the shortage.
func TestRefusalIsLogged(t *testing.T) {
	e, log := newTestEntry(t)
	record := func() (map[string]any, Refusal) {
		log.Reset()
		_, refusal := expectRefusal(t, e, http.MethodPost, "/v1/office/renewal-search/search")
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(log.Bytes(), &fields), log.String())
		assert.Equal(t, fields["level"], "INFO")
		assert.Equal(t, fields["request_id"], refusal.RequestID)
		assert.Equal(t, fields["trace_id"], "0af7651916cd43dd8448eb211c80319c")
		assert.Equal(t, fields["caller"], "renewal-clerks")
		assert.Equal(t, fields["class"], "clerk")
		assert.Equal(t, fields["run"], "not-run")
		assert.Equal(t, fields["bundle_version"], 7.0)
		return fields, refusal
	}
	fields, refusal := record()
	assert.Equal(t, fields["kind"], "shortage")
	assert.Equal(t, fields["shortage"], string(refusal.Reason.Shortage))
	fields, refusal = record()
	assert.Equal(t, fields["kind"], "rule")
	assert.Equal(t, fields["rule"], "clerk-rate")
	assert.Assert(t, refusal.Reason.Signer != "")
	assert.Equal(t, fields["signer"], refusal.Reason.Signer)
}
