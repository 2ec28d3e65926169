package entry

import (
	"fmt"
	"net/http"
)

// RunStatement tells a caller whether a refused request may have run.
type RunStatement string

// Run statements of a refusal.
const (
	// NotRun is used only if no backend server can have run any part of the request.
	NotRun     RunStatement = "not-run"
	RunUnknown RunStatement = "unknown"
)

// ReasonKind classifies the reason of a refusal.
type ReasonKind string

// Kinds of reasons.
const (
	ReasonRule     ReasonKind = "rule"     // a signed rule of the bundle refuses the request
	ReasonShortage ReasonKind = "shortage" // a resource was missing or exhausted
	ReasonInvalid  ReasonKind = "invalid"  // the request itself is at fault
)

// Reason names the signed rule or the shortage behind a refusal.
type Reason struct {
	Kind          ReasonKind `json:"kind"`
	Rule          string     `json:"rule,omitempty"`
	BundleVersion int64      `json:"bundle_version,omitempty"`
	Signer        string     `json:"signer,omitempty"`
	Shortage      Shortage   `json:"shortage,omitempty"`
	Detail        string     `json:"detail,omitempty"`
}

// Refusal is the reply to a request that gets no answer. It implements error.
type Refusal struct {
	RequestID    string       `json:"request_id"`
	Refused      bool         `json:"refused"` // always true
	Run          RunStatement `json:"run"`
	Reason       Reason       `json:"reason"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
	Status       int          `json:"-"` // HTTP status

	cause error // only logged, since it may contain addresses
}

// Error returns the run statement and the reason.
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

// invalidRefusal returns a refusal for a faulty request.
func invalidRefusal(status int, detail string) *Refusal {
	return &Refusal{Refused: true, Run: NotRun, Status: status, Reason: Reason{Kind: ReasonInvalid, Detail: detail}}
}

// rejectedRefusal returns a refusal for a request that a backend server rejected
// as faulty. Backend servers of other shards may have run it.
func rejectedRefusal(run RunStatement, detail string) *Refusal {
	refusal := invalidRefusal(http.StatusBadRequest, detail)
	refusal.Run = run
	return refusal
}

// shortageRefusal returns a refusal for a missing or exhausted resource.
func shortageRefusal(run RunStatement, name Shortage, detail string) *Refusal {
	return &Refusal{
		Refused:      true,
		Run:          run,
		Status:       http.StatusServiceUnavailable,
		Reason:       Reason{Kind: ReasonShortage, Shortage: name, Detail: detail},
		RetryAfterMs: retryAfterMs,
	}
}

// retryAfterMs is the retry delay, in milliseconds, advised after a shortage or
// a refusal by rule. It exceeds the time in which an owner's queue drains.
const retryAfterMs = 500
