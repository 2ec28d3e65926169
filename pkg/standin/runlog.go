package standin

import "sync"

const runLogStripes = 64

// RunLog counts what backend servers have executed. It is shared by all
// servers of a deployment and safe for concurrent use.
type RunLog struct {
	searches   [runLogStripes]counter // by request id
	operations counter                // by operation id
	payloads   counter                // by service and payload
	afterDrain counter                // by backend server
}

// counter counts occurrences per label.
type counter struct {
	mu     sync.Mutex
	counts map[string]int // guarded by mu
}

func (c *counter) add(label string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[label]++
}

func (c *counter) get(label string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[label]
}

func (c *counter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.counts))
	for label, count := range c.counts {
		out[label] = count
	}
	return out
}

// RecordSearch counts one shard execution of a search.
func (l *RunLog) RecordSearch(requestID string) {
	l.stripe(requestID).add(requestID)
}

// RecordSubmission counts one execution of a submission.
func (l *RunLog) RecordSubmission(operation, service, payload string) {
	l.operations.add(operation)
	l.payloads.add(service + "\x00" + payload)
}

// RecordAfterDrain counts a request that arrived at a backend server after the
// grace of its drain.
func (l *RunLog) RecordAfterDrain(server string) { l.afterDrain.add(server) }

// AfterDrain returns the requests after the grace of a drain by backend server.
func (l *RunLog) AfterDrain() map[string]int { return l.afterDrain.all() }

// Searches returns the number of shard executions of a search request.
func (l *RunLog) Searches(requestID string) int {
	return l.stripe(requestID).get(requestID)
}

// Payloads returns how often a payload was executed by a service.
func (l *RunLog) Payloads(service, payload string) int {
	return l.payloads.get(service + "\x00" + payload)
}

// Operations returns the executions per operation id.
func (l *RunLog) Operations() map[string]int { return l.operations.all() }

// Duplicates returns the number of surplus executions: the larger of the
// surplus by operation id and by payload.
func (l *RunLog) Duplicates() int {
	return max(surplus(l.operations.all()), surplus(l.payloads.all()))
}

func surplus(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += max(0, count-1)
	}
	return total
}

func (l *RunLog) stripe(label string) *counter {
	hash := uint32(2166136261)
	for i := range len(label) {
		hash = (hash ^ uint32(label[i])) * 16777619
	}
	return &l.searches[hash%runLogStripes]
}
