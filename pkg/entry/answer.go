package entry

import "github.com/sycamorelift/sycamorelift/pkg/coverage"

// Answer is the reply to a search that was not refused.
type Answer struct {
	RequestID     string          `json:"request_id"`
	Team          string          `json:"team"`
	Service       string          `json:"service"`
	Class         string          `json:"class"`
	Instance      string          `json:"instance"`
	BundleVersion int64           `json:"bundle_version"`
	Snapshot      int64           `json:"snapshot"`
	Coverage      coverage.Report `json:"coverage"`
	Hits          []Hit           `json:"hits"`
	Attempts      int             `json:"attempts"` // attempts on backend servers, including hedges and retries
	Shards        int             `json:"shards"`
	StaleView     bool            `json:"stale_view"` // the bundle was not confirmed as current in time
}
