package gateway

import (
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// Codec reads and writes what callers' requests and answers state about
// themselves.
type Codec interface {
	// Stated returns the id of a request and how long its caller waits; 0 is not
	// stated.
	Stated(header http.Header) (id string, patience time.Duration)
	// Merged adds the header fields of a merged answer.
	Merged(header http.Header, merged *forward.Merged)
}
