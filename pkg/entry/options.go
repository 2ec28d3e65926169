package entry

// Options switch decisions off or to their simple baseline, so that the
// experiment command can compare them. The zero value is the product.
type Options struct {
	DirectFanOut    bool // call backend servers from this instance, not from owners
	RandomReplica   bool // choose replicas at random
	DisableHedging  bool
	DisableCanary   bool
	DisableRetries  bool
	DisableSoftStop bool // keep asking shards when the minimum coverage is out of reach
}
