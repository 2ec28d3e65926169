package entry

import (
	"fmt"
	"net/http"
)

// RunStatement is what a refusal states about the request.
type RunStatement string

// Statements of a refusal. NotRun is used only when no backend server can have
// run any part of the request.
const (
	NotRun  RunStatement = "not-run"
	Unknown RunStatement = "unknown"
)

// ReasonKind is the class of a refusal's reason.
type ReasonKind string

// Kinds of reasons.
const (
	ReasonRule     ReasonKind = "rule"     // a signed rule of the bundle
	ReasonShortage ReasonKind = "shortage" // a resource was missing
	ReasonInvalid  ReasonKind = "invalid"  // the request itself is at fault
)

// Reason traces a refusal to a signed rule or to a real shortage.
type Reason struct {
	Kind          ReasonKind `json:"kind"`
	Rule          string     `json:"rule,omitempty"`
	BundleVersion int64      `json:"bundle_version,omitempty"`
	Signer        string     `json:"signer,omitempty"`
	Shortage      Shortage   `json:"shortage,omitempty"`
	Detail        string     `json:"detail,omitempty"`
}

// Refusal is the reply to a request that gets no answer. It is an error.
type Refusal struct {
	RequestID    string       `json:"request_id"`
	Refused      bool         `json:"refused"` // always true
	Run          RunStatement `json:"run"`
	Reason       Reason       `json:"reason"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
	Status       int          `json:"-"` // HTTP status

	cause error // for the log only: it may name addresses
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("refused (%s): %s", r.Run, r.Reason.Kind)
	if name := r.Reason.Rule + string(r.Reason.Shortage); name != "" {
		text += " " + name
	}
	if r.Reason.Detail != "" {
		text += ": " + r.Reason.Detail
	}
	return text
}

// invalid returns a refusal for a faulty request.
func invalid(status int, detail string) *Refusal {
	return &Refusal{Refused: true, Run: NotRun, Status: status, Reason: Reason{Kind: ReasonInvalid, Detail: detail}}
}

// rejected returns a refusal for a request that a backend server cannot
// understand. Other shards may have run it.
func rejected(run RunStatement, detail string) *Refusal {
	refusal := invalid(http.StatusBadRequest, detail)
	refusal.Run = run
	return refusal
}

// shortage returns a refusal for a missing resource.
func shortage(run RunStatement, name Shortage, detail string) *Refusal {
	return &Refusal{
		Refused:      true,
		Run:          run,
		Status:       http.StatusServiceUnavailable,
		Reason:       Reason{Kind: ReasonShortage, Shortage: name, Detail: detail},
		RetryAfterMs: retryAfterMs,
	}
}

// retryAfterMs is the advice to callers after a shortage or a rule; it exceeds
// the time that a queue of owners needs to drain.
const retryAfterMs = 500
