package suspects

import "time"

const (
	// MaxLosses is the number of lost runs of servers that quarantines a request. A request
	// without fault reaches it only if three servers are lost under it before any answers.
	MaxLosses = 3
	// QuarantineTime is how long after its latest loss a request is suspected.
	QuarantineTime = 10 * time.Minute
	// restartTime is the least time in which a crashed server is back. A reply of the same
	// run of the server within it shows that only a connection was lost.
	restartTime = time.Second

	// shieldTime is how long after a success a request is not suspected. Requests that many
	// callers repeat fail during an outage of their servers like all others, and a quarantine
	// would outlast the outage.
	shieldTime = 30 * time.Second

	// correlationTime is the time within which the losses of several servers have one cause.
	correlationTime = time.Second

	// Bounds on memory. The oldest suspect is dropped first.
	maxSuspects = 4096
	// successGeneration is how many requests with a success are remembered, twice.
	successGeneration = 2048
	// maxLossesKept exceeds MaxLosses: losses that are refuted later leave others that count,
	// and refuted losses are kept as well.
	maxLossesKept = 8
	// maxRecentLosses bounds the lost runs of servers that are remembered beside the suspects.
	maxRecentLosses = 256
	// maxShared is the number of suspects that Shared returns.
	maxShared = 64
)
