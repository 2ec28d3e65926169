package crashguard

import "time"

const (
	// DefaultCrashLimit applies when the bundle states no limit.
	DefaultCrashLimit = 2
	// QuarantineTime is counted from the last crash; crashes are remembered
	// as long.
	QuarantineTime = 10 * time.Minute
	// CorrelationWindow is the time within which losses of one zone are taken
	// for one event.
	CorrelationWindow = time.Second
	// sameCrashWindow is the time within which reports about one server are
	// taken for the same crash. Reports of other instances are dated by their
	// age, which is uncertain by the transfer time.
	sameCrashWindow = 2 * time.Second

	// Bounds of memory. The oldest entries are dropped first.
	maxSuspects          = 4096
	maxCrashesPerSuspect = 16
	maxLosses            = 512
	maxGoodPerGeneration = 32 << 10
)
