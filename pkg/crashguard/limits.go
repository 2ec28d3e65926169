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

	// singleDomainFactor is how many times the limit counts within one failure
	// domain.
	singleDomainFactor = 2
	// lossReportSpacing bounds the reports without a request: two per zone and
	// spacing. Two are needed to explain any crash of the zone, since one may
	// concern the crashed server itself.
	lossReportSpacing  = CorrelationWindow / 4
	lossReportsPerZone = 2
	// reportedWindow replaces CorrelationWindow for losses that others report.
	// It makes up for the spacing: whatever a loss explains at its observer is
	// also explained by one that the observer has reported.
	reportedWindow = CorrelationWindow + lossReportSpacing

	// Bounds of memory. The oldest entries are dropped first.
	maxSuspects          = 4096
	maxCrashesPerSuspect = 16
	maxLosses            = 512
	maxGoodPerGeneration = 32 << 10
)
