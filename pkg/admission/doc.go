// Package admission holds the priority queue and the concurrency limit of one
// replica at its owner. A request that is refused here has not run.
//
// Priority is strict: a waiting request is served only when no request of a
// higher priority waits. There is no ageing, because the operators' bundle
// states which callers come first and the queue must not overrule it. Under
// lasting overload the lowest priorities are therefore refused rather than
// served late.
package admission
