package bundle

// ServiceKind tells what a service does with requests.
type ServiceKind string

// Kinds of services.
const (
	KindSearch     ServiceKind = "search"     // idempotent, fans out to all shards
	KindSubmission ServiceKind = "submission" // not idempotent, runs on one shard
)
