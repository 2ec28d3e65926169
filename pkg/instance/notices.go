package instance

import (
	"log/slog"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// connectNotices applies the notices of other instances and spreads this
// instance's crash reports.
func (i *Instance) connectNotices() {
	i.plane.OnNotice(i.applyNotice)
	i.guard.OnReport(func(report crashguard.Report) {
		logCrash(i.logger, report)
		i.plane.AddNotice(&peerpb.Notice{
			Kind:        noticeKind(report),
			AgeMs:       max(time.Since(report.Observed).Milliseconds(), 0),
			Subject:     report.ServerID,
			Fingerprint: report.Fingerprint,
			Observer:    i.self.ID,
		})
	})
}

func noticeKind(report crashguard.Report) peerpb.Notice_Kind {
	if report.Succeeded {
		return peerpb.Notice_REQUEST_SUCCEEDED
	}
	return peerpb.Notice_REQUEST_CRASHED_SERVER
}

// logCrash records a lost backend server. A request that was in flight there is
// only suspected: the server may have been lost for another reason.
func logCrash(logger *slog.Logger, report crashguard.Report) {
	if report.Succeeded {
		logger.Info("suspected request has succeeded here",
			"fingerprint", crashguard.FormatFingerprint(report.Fingerprint), "backend_server", report.ServerID)
		return
	}
	if report.Fingerprint == 0 {
		logger.Warn("backend server lost", "backend_server", report.ServerID)
		return
	}
	logger.Warn("request suspected of crashing a backend server",
		"fingerprint", crashguard.FormatFingerprint(report.Fingerprint), "backend_server", report.ServerID)
}

func (i *Instance) applyNotice(notice *peerpb.Notice) {
	now := time.Now()
	observed := now.Add(-time.Duration(notice.AgeMs) * time.Millisecond)
	switch notice.Kind {
	case peerpb.Notice_BACKEND_SERVER_DRAINING:
		i.view.RecordServerDrain(notice.Subject, notice.Incarnation, observed)
	case peerpb.Notice_INSTANCE_DRAINING:
		i.view.RecordInstanceDrain(notice.Subject, notice.Incarnation, observed)
	case peerpb.Notice_REQUEST_CRASHED_SERVER:
		zone := ""
		if server, ok := i.view.Server(notice.Subject); ok {
			zone = server.Zone
		}
		i.guard.MergeReport(notice.Fingerprint, notice.Subject, zone, observed)
	case peerpb.Notice_REQUEST_SUCCEEDED:
		i.guard.MergeSuccess(notice.Fingerprint, observed)
	}
}
