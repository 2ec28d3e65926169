// Package admission implements the priority queue and the adaptive concurrency
// limit of one replica at its owner. A request that is refused here has not run.
//
// Priority is strict: a waiting request is served only if no request of a higher
// priority waits. Waiting does not raise the priority, because the operators'
// bundle states which callers come first and the queue must not overrule it.
// Under lasting overload the requests of the lowest priorities are therefore
// refused rather than served late.
package admission
