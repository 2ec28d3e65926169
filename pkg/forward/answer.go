package forward

// Answer is the final answer to a request. Exactly one of Reply, Merged and Refusal is set.
type Answer struct {
	Reply   *Reply   // of one backend server, passed on unchanged
	Merged  *Merged  // of a sharded route
	Refusal *Refusal // no backend server has answered
	Trace   Trace
}

// Merged is the answer of a sharded route.
type Merged struct {
	Proofs  []string // of the parts in the answer
	Missing int      // number of shards without a part
	Body    []byte   // the greatest records of all parts, in descending order
}
