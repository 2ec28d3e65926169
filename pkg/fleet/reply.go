package fleet

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/oracle"
)

// Outcome is what a caller got.
type Outcome string

// Outcomes of a request.
const (
	Complete Outcome = "complete" // answer with full coverage, or submission that ran
	Partial  Outcome = "partial"  // answer that names missing ranges
	Refused  Outcome = "refused"  // refusal with its reason
	Failed   Outcome = "failed"   // no reply, or one that isn't understood
)

// Reply is the end of one request.
type Reply struct {
	Outcome  Outcome
	Answer   *oracle.Answer // of a search
	Refusal  *Refusal
	Reason   string        // of a refusal or failure
	Latency  time.Duration // as the caller sees it
	Problems []oracle.Problem
	Tries    int // instances asked
}
