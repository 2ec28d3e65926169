package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// ticketHeader carries the ticket of a submission.
const ticketHeader = "Sycamorelift-Ticket"

// submitBody is the JSON body of a submission.
type submitBody struct {
	Key     string          `json:"key"`
	Payload json.RawMessage `json:"payload"`
}

// submitReply is the reply to a submission that has run.
type submitReply struct {
	RequestID     string          `json:"request_id"`
	Run           string          `json:"run"` // always "run"
	Result        json.RawMessage `json:"result"`
	Replayed      bool            `json:"replayed"` // Result is the stored result of an earlier attempt
	Detail        string          `json:"detail,omitempty"`
	Instance      string          `json:"instance"`
	Issuer        string          `json:"issuer"`
	BundleVersion int64           `json:"bundle_version"`
	StaleView     bool            `json:"stale_view"`
}

// handleSubmit forwards a submission to its ticket's issuer. Only the issuer
// knows whether an earlier attempt with the ticket has run. A refusal by this
// instance therefore states "unknown" for the request, although this attempt did
// not run.
func (e *Entry) handleSubmit(_ http.ResponseWriter, r *http.Request, c call) (any, error) {
	prepared, err := e.prepareSubmit(r, c)
	if err != nil {
		return nil, refusedBeforeIssuer(err)
	}
	policy := prepared.policy
	arrived := e.config.Now()
	release, rule := e.rules.acquire(policy, arrived)
	if rule != nil {
		return nil, refusedBeforeIssuer(ruleRefusal(policy, rule, NotRun, "the class's limit on this instance is reached"))
	}
	defer release()
	ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(policy.Deadline))
	defer cancel()
	answer, err := e.config.Submissions.Submit(ctx, prepared.request)
	if err != nil {
		return nil, submissionRefusal(err)
	}
	e.config.Metrics.Count("submissions.run", 1)
	return submitReply{
		RequestID: c.id, Run: "run", Result: answer.Result, Replayed: answer.Replayed, Detail: answer.Detail,
		Instance: e.config.Self.ID, Issuer: answer.IssuerID, BundleVersion: policy.BundleVersion,
		StaleView: prepared.stale,
	}, nil
}

// preparedSubmission is a decoded submission of an authenticated caller.
type preparedSubmission struct {
	request submission.Request
	policy  bundle.Policy
	stale   bool // the bundle was not confirmed as current in time
}

// prepareSubmit decodes a submission and resolves its policy.
func (e *Entry) prepareSubmit(r *http.Request, c call) (*preparedSubmission, error) {
	token := r.Header.Get(ticketHeader)
	if token == "" {
		return nil, invalidRefusal(http.StatusBadRequest, "header "+ticketHeader+" is missing; get a ticket first")
	}
	var body submitBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	stale := e.config.Control.EnsureFresh(r.Context())
	policy, err := e.resolvePolicy(r.Context(), c.team, c.service, c.token, bundle.KindSubmission)
	if err != nil {
		return nil, err
	}
	return &preparedSubmission{policy: policy, stale: stale, request: submission.Request{
		RequestID: c.id, Token: token, Team: c.team, Service: c.service, Key: body.Key, Payload: body.Payload,
		Priority: policy.Priority, Slots: policy.Slots, Connections: policy.Connections,
	}}, nil
}

// refusedBeforeIssuer adapts a refusal that this instance gives without asking
// the ticket's issuer: the outcome of earlier attempts is unknown.
func refusedBeforeIssuer(err error) error {
	refusal := asRefusal(err)
	refusal.Run = RunUnknown
	refusal.Reason.Detail = "not run by this attempt; outcome of earlier attempts unknown: " + refusal.Reason.Detail
	return refusal
}

// submissionRefusal converts a refusal of the submission router. It states "not
// run" only if no attempt with the ticket has run and none ever will.
func submissionRefusal(err error) error {
	var refused *submission.Refusal
	if !errors.As(err, &refused) {
		return err
	}
	run := RunUnknown
	if refused.NotRun() {
		run = NotRun
	}
	if refused.Reason == submission.ReasonTicket {
		refusal := invalidRefusal(ticketStatus(refused.Ticket), refused.Error())
		refusal.Run = run
		return refusal
	}
	refusal := shortageRefusal(run, Shortage(refused.Reason), refused.Error())
	refusal.cause = refused.Cause
	if refused.Status == peerpb.ResultStatus_DEADLINE {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}

// ticketStatus returns the HTTP status for a ticket error.
func ticketStatus(kind ticket.Kind) int {
	switch kind {
	case ticket.KindConflict:
		return http.StatusConflict
	case ticket.KindExpired, ticket.KindIssuerGone:
		return http.StatusGone
	default:
		return http.StatusBadRequest
	}
}
