package forward

// Answer ends a request. Exactly one of Reply, Merged and Refusal is set.
type Answer struct {
	Reply   *Reply   // one backend server's, passed on unchanged
	Merged  *Merged  // of a sharded route
	Refusal *Refusal // no answer
	Trace   Trace
}

// Merged is the answer of a sharded route.
type Merged struct {
	Proofs  []string // of the parts that are in
	Missing int      // shards that are left out
	Body    []byte   // greatest records of the parts, greatest first
}
