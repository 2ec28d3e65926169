package standin

import "sync/atomic"

// BackendStats are the counters of a backend server since its start.
type BackendStats struct {
	Searches          int64 `json:"searches"`           // executions started
	Submissions       int64 `json:"submissions"`        // executions
	Refused           int64 `json:"refused"`            // not run
	Cancelled         int64 `json:"cancelled"`          // stopped because the caller closed the connection
	AfterDrain        int64 `json:"after_drain"`        // requests that arrived after the drain's grace
	Connections       int   `json:"connections"`        // open now
	PeakConnections   int   `json:"peak_connections"`   // most open at once
	OpenedConnections int64 `json:"opened_connections"` // accepted
	OverLimit         int64 `json:"over_limit"`         // connections reset at the limit
	Crashes           int64 `json:"crashes"`
}

// plus returns the sums, and the larger of the peaks.
func (s BackendStats) plus(other BackendStats) BackendStats {
	return BackendStats{
		Searches:          s.Searches + other.Searches,
		Submissions:       s.Submissions + other.Submissions,
		Refused:           s.Refused + other.Refused,
		Cancelled:         s.Cancelled + other.Cancelled,
		AfterDrain:        s.AfterDrain + other.AfterDrain,
		Connections:       s.Connections + other.Connections,
		PeakConnections:   max(s.PeakConnections, other.PeakConnections),
		OpenedConnections: s.OpenedConnections + other.OpenedConnections,
		OverLimit:         s.OverLimit + other.OverLimit,
		Crashes:           s.Crashes + other.Crashes,
	}
}

type backendCounters struct {
	searches, submissions, refused, cancelled, afterDrain, crashes atomic.Int64
}
