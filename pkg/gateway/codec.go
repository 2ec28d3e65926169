package gateway

import (
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// Codec reads the header fields of callers' requests and writes those of their
// answers, so that this package does not depend on their names.
type Codec interface {
	// ReadRequestFields returns the request id and how long the caller waits for the answer; 0
	// means that the caller did not state a time.
	ReadRequestFields(header http.Header) (id string, callerTimeout time.Duration)
	// SetMergedFields adds the header fields that describe a merged answer: the proofs of its
	// parts and the number of missing shards.
	SetMergedFields(header http.Header, merged *forward.Merged)
}
