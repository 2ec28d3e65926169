package coverage

// Reason tells callers why a shard is missing from an answer.
type Reason string

// Reasons that do not come from a backend server's result.
const (
	ReasonNoReply          Reason = "no-reply"          // no result within the deadline
	ReasonGivenUp          Reason = "given-up"          // the minimum coverage was out of reach
	ReasonSnapshotGone     Reason = "snapshot-gone"     // the pinned snapshot is no longer served
	ReasonOtherSnapshot    Reason = "other-snapshot"    // a reply came from another snapshot
	ReasonManifestMismatch Reason = "manifest-mismatch" // a reply covers another range or number of documents
	ReasonDraining         Reason = "draining"          // the backend server is leaving
	ReasonNoReplica        Reason = "no-replica"        // no replica is left to ask
	ReasonNoOwner          Reason = "no-owner"          // no instance that owns a replica is known
	ReasonOwnerLost        Reason = "owner-lost"        // no owner answered
	ReasonNoCanary         Reason = "no-canary"         // no shard could be asked first
	ReasonCrashed          Reason = "crashed"           // a backend server crashed while it ran the request
)
