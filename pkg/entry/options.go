package entry

// Options disable mechanisms, or replace them by a simple baseline, so that the
// experiment command can measure their effect. The zero value is the production
// configuration.
type Options struct {
	DirectFanOut    bool // call backend servers from this instance instead of through their owners
	RandomReplica   bool // choose replicas at random
	DisableHedging  bool
	DisableCanary   bool
	DisableRetries  bool
	DisableSoftStop bool // continue a query whose minimum coverage is out of reach
}
