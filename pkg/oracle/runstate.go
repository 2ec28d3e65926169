package oracle

// RunState is what a reply says about the execution of its request.
type RunState string

// Statements about an execution.
const (
	Run     RunState = "run"
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)
