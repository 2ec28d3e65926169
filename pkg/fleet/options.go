package fleet

// Options switch decisions of the instances off or to a simple baseline. The
// zero value is the product. The fields are those of entry.Options.
type Options struct {
	DirectFanOut    bool // call backend servers from the entry instance, not from owners
	RandomReplica   bool // choose replicas at random
	DisableHedging  bool
	DisableCanary   bool
	DisableRetries  bool
	DisableSoftStop bool // keep asking shards when the minimum coverage is out of reach
}
