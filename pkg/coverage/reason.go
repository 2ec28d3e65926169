package coverage

// Reason tells callers why a shard is missing from an answer.
type Reason string

// Reasons that code refers to. Other reasons are statuses of results as callers
// read them, for example invalid-reply.
const (
	ReasonNoReply          Reason = "no-reply"          // no result arrived within the deadline
	ReasonGivenUp          Reason = "given-up"          // the query ended because the minimum coverage was out of reach
	ReasonSnapshotGone     Reason = "snapshot-gone"     // the pinned snapshot is no longer served
	ReasonOtherSnapshot    Reason = "other-snapshot"    // a reply came from another snapshot
	ReasonManifestMismatch Reason = "manifest-mismatch" // a reply covers another range or number of documents
	ReasonDraining         Reason = "draining"          // the backend server is draining
	ReasonNoReplica        Reason = "no-replica"        // no replica is left to try
	ReasonNoOwner          Reason = "no-owner"          // no instance that owns a replica is known
	ReasonOwnerLost        Reason = "owner-lost"        // no owner of the backend server answered
	ReasonNoCanary         Reason = "no-canary"         // no shard was left for the canary
	ReasonCrashed          Reason = "crashed"           // a backend server crashed while it ran the request
)
