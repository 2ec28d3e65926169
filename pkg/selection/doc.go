// Package selection orders the replicas of a shard for the attempts of an entry
// instance, and bounds the load that hedges and retries add. It relies on this
// instance's own observations, because the health and load endpoints of the platform
// are late and inaccurate.
package selection
