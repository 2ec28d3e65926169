// Package bundle holds the signed, versioned document by which operators drive
// the system: its model, checks, signatures, comparison and policy lookup.
package bundle

import "time"

// Policy is everything that one request is decided under. It is resolved once
// per request from one bundle, so that no request is decided under two.
type Policy struct {
	BundleVersion int64
	BundleDigest  string
	Team          string
	Service       string
	Class         string
	Caller        string
	Kind          ServiceKind
	Priority      int           // 0 is served first
	Deadline      time.Duration // of the whole request
	MinCoverage   float64       // least fraction of documents, 0 to 1
	HedgeQuantile float64       // attempt latency quantile that starts a hedge; 0 is off
	HedgeBudget   float64       // extra attempts per attempt
	Canary        bool          // ask one shard first for requests not yet seen to succeed
	CanaryMaxWait time.Duration // longest delay of the other shards; 0 waits for the canary
	CrashLimit    int           // backend servers that one request may crash
	Slots         int           // concurrent requests per backend server
	Connections   int           // connections per backend server, all instances together
	Rules         []Rule        // refusal rules for this class, in order
}
