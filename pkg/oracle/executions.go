package oracle

// Executions counts what the backend servers really executed.
type Executions interface {
	// Searches returns the shard executions of a search request.
	Searches(requestID string) int
	// Payloads returns the executions of a submission's payload.
	Payloads(service, payload string) int
	// Duplicates returns the surplus executions of submissions.
	Duplicates() int
	// AfterDrain returns, by backend server, the requests that arrived after
	// the grace of its drain.
	AfterDrain() map[string]int
}
