package fleet

import "github.com/sycamorelift/sycamorelift/pkg/oracle"

// Refusal is a reply that refuses a request, as callers receive it.
type Refusal struct {
	RequestID    string          `json:"request_id"`
	Refused      bool            `json:"refused"`
	Run          oracle.RunState `json:"run"`
	Reason       RefusalReason   `json:"reason"`
	RetryAfterMs int64           `json:"retry_after_ms"`
}

// RefusalReason traces a refusal to a rule or a shortage.
type RefusalReason struct {
	Kind          string `json:"kind"`
	Rule          string `json:"rule"`
	BundleVersion int64  `json:"bundle_version"`
	Signer        string `json:"signer"`
	Shortage      string `json:"shortage"`
	Detail        string `json:"detail"`
}

// Name returns the reason in one word, for counts.
func (r RefusalReason) Name() string {
	switch {
	case r.Rule != "":
		return r.Kind + ":" + r.Rule
	case r.Shortage != "":
		return r.Kind + ":" + r.Shortage
	}
	return r.Kind
}
