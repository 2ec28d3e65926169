package backend

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// refusal is the body of a reply to a request that was not run.
type refusal struct {
	NotRun  bool   `json:"not_run"`
	Reason  string `json:"reason"`
	Request string `json:"request"` // optional; must match when present
	Detail  string `json:"detail"`  // optional; for example what is wrong with an invalid request
}

// refusalKey identifies one of the refusals that the backend protocol defines.
type refusalKey struct {
	status int
	reason string
}

// refusals maps each refusal of the backend protocol to its result status.
var refusals = map[refusalKey]peerpb.ResultStatus{
	{http.StatusServiceUnavailable, "shed"}:     peerpb.ResultStatus_SHED,
	{http.StatusServiceUnavailable, "draining"}: peerpb.ResultStatus_DRAINING,
	{http.StatusServiceUnavailable, "cold"}:     peerpb.ResultStatus_COLD,
	{http.StatusGone, "snapshot-gone"}:          peerpb.ResultStatus_SNAPSHOT_GONE,
	{http.StatusGatewayTimeout, "deadline"}:     peerpb.ResultStatus_DEADLINE,
	{http.StatusBadRequest, "invalid-request"}:  peerpb.ResultStatus_REJECTED,
}

// parseRefusal turns a reply with a status other than 200 into an error. Only the
// refusals that the protocol defines prove that the request did not run; after
// any other reply the run state is unknown.
func parseRefusal(r *reply, request string) *CallError {
	var body refusal
	if err := json.Unmarshal(r.body, &body); err != nil {
		return invalidReply("HTTP status "+strconv.Itoa(r.status), err).withState(r.state)
	}
	status, known := refusals[refusalKey{r.status, body.Reason}]
	if known && status == peerpb.ResultStatus_DEADLINE && !body.NotRun {
		// The deadline passed while the request was running.
		return unknownRun(status, "deadline passed at the backend server", nil).withState(r.state)
	}
	if !known || !body.NotRun {
		return invalidReply("HTTP status "+strconv.Itoa(r.status)+", reason "+strconv.Quote(body.Reason), nil).withState(r.state)
	}
	if body.Request != "" && body.Request != request {
		return invalidReply("refusal of another request", nil).withState(r.state)
	}
	return notRun(status, body.describe(), nil).withState(r.state)
}

// describe returns the detail of the refusal that callers see.
func (b refusal) describe() string {
	if b.Detail == "" {
		return "refused: " + b.Reason
	}
	return b.Reason + ": " + b.Detail
}
