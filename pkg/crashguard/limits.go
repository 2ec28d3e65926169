package crashguard

import "time"

const (
	// DefaultCrashLimit applies when the bundle sets no crash limit.
	DefaultCrashLimit = 2
	// QuarantineTime is how long a quarantine lasts after the last crash. Crashes
	// are remembered until then.
	QuarantineTime = 10 * time.Minute
	// CorrelationWindow is the time within which losses in one zone count as one
	// incident.
	CorrelationWindow = time.Second
	// sameCrashWindow is the time within which reports about one server count as
	// the same crash. The time of a crash that another instance reports is
	// computed from its age, which the transfer time makes uncertain. Crashes of a server
	// that is back and lost again later than that count each, as crashes in its zone do.
	sameCrashWindow = CorrelationWindow

	// singleDomainFactor is the multiple of the crash limit that suffices when all
	// crashes lie in one failure domain.
	singleDomainFactor = 2
	// lossReportInterval and lossReportsPerZone bound the reports of losses
	// without a request: two per zone and interval. Two are needed to explain any
	// crash in the zone, since one of them may be about the crashed server itself.
	lossReportInterval = CorrelationWindow / 4
	lossReportsPerZone = 2
	// reportedCorrelationWindow replaces CorrelationWindow for losses that other
	// instances report. It is longer by lossReportInterval, because the bound may
	// hold back a report: whatever a loss explains at its observer is then also
	// explained by a loss that the observer has reported.
	reportedCorrelationWindow = CorrelationWindow + lossReportInterval

	// Bounds on memory. The oldest entries are dropped first.
	maxSuspects               = 4096
	maxCrashesPerSuspect      = 16
	maxLosses                 = 512
	maxSuccessesPerGeneration = 32 << 10
)
