package peering

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

const (
	// reportInterval is the least time between two messages of an instance with reports.
	reportInterval = 100 * time.Millisecond
	// maxParallelReports bounds the messages with reports that are under way.
	maxParallelReports = 16
	// maxQueuedReports bounds the reports that wait to be sent.
	maxQueuedReports = 256
	// repeatAfter is when a report is sent once more, if the request is still suspected: some
	// instances may not have been known when it was sent first, or not have answered. Most
	// suspicions of innocent requests have ended by then, and it is well below the 4 s after
	// which a crashing request may reach three more servers only.
	repeatAfter = 1500 * time.Millisecond
)

// SuspectReporter tells the other instances about requests that may crash backend servers.
// Reports go out at once, because a caller may repeat such a request at any instance: to all
// instances of this availability zone and to the relays in other zones, which pass on what is
// new to them within their zone. Requests in quarantine are also part of each exchange, for
// instances that start later or that a report has not reached.
type SuspectReporter struct {
	members *Members
	client  *Client
	relays  *Relays
	tracker *suspects.Tracker
	queue   chan report
}

// report is a suspect that waits to be sent.
type report struct {
	suspect   suspects.Suspect
	localOnly bool // another zone has sent it; only this zone still has to learn it
}

// NewSuspectReporter returns a reporter of what the tracker holds.
func NewSuspectReporter(members *Members, client *Client, relays *Relays, tracker *suspects.Tracker) *SuspectReporter {
	return &SuspectReporter{members: members, client: client, relays: relays, tracker: tracker, queue: make(chan report, maxQueuedReports)}
}

// Report sends a suspect to other instances. It never blocks: a report that finds the queue
// full is dropped and logged.
func (r *SuspectReporter) Report(s suspects.Suspect) { r.announce(report{suspect: s}) }

// announce sends a report now and once more after repeatAfter with what is known then.
func (r *SuspectReporter) announce(next report) {
	r.enqueue(next)
	time.AfterFunc(repeatAfter, func() {
		if s, suspected := r.tracker.Suspect(next.suspect.Fingerprint, r.members.now()); suspected {
			r.enqueue(report{suspect: s, localOnly: next.localOnly})
		}
	})
}

func (r *SuspectReporter) enqueue(next report) {
	select {
	case r.queue <- next:
	default:
		r.members.logger.Warn("report of a request that may crash backend servers dropped, the queue is full", "queued", maxQueuedReports)
	}
}

// Serve sends reports until ctx ends. It implements suture.Service.
func (r *SuspectReporter) Serve(ctx context.Context) error {
	for {
		select {
		case first := <-r.queue:
			r.send(ctx, r.withQueued(first))
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (r *SuspectReporter) String() string { return "suspect reporter" }

// withQueued returns a report with all others that are queued.
func (r *SuspectReporter) withQueued(first report) []report {
	batch := []report{first}
	for {
		select {
		case next := <-r.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// send sends the reports, in one message to each target.
func (r *SuspectReporter) send(ctx context.Context, batch []report) {
	var all, own []suspects.Suspect
	for _, next := range batch {
		all = append(all, next.suspect)
		if !next.localOnly {
			own = append(own, next.suspect)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var calls errgroup.Group
	calls.SetLimit(maxParallelReports)
	r.sendTo(ctx, &calls, r.members.Usable(r.members.Self().Zone), all)
	if len(own) > 0 {
		r.sendTo(ctx, &calls, r.relays.inOtherZones(), own)
	}
	_ = calls.Wait()
}

func (r *SuspectReporter) sendTo(ctx context.Context, calls *errgroup.Group, targets []Member, batch []suspects.Suspect) {
	m := &peeringpb.ExchangeMessage{Sender: r.members.Self().toProto(0), Brief: true, Suspects: suspectsToProto(batch, r.members.now())}
	for _, target := range targets {
		calls.Go(func() error {
			_, err := r.client.Exchange(ctx, target.Address, m)
			r.members.RecordCall(target.ID, err == nil)
			return nil // RecordCall logs the failure; the next exchange repeats a quarantine
		})
	}
}

// addTo adds to an exchange message what each instance has to know.
func (r *SuspectReporter) addTo(m *peeringpb.ExchangeMessage) {
	now := r.members.now()
	// The age comes first: a quarantine that begins after it is among the suspects.
	m.SuspectsHistoryMs = toMilliseconds(r.tracker.HistoryAge(now))
	m.Suspects = suspectsToProto(r.tracker.Shared(now), now)
}

// merge takes in the suspects of a message. What another zone sends and is new is passed on
// within this zone.
func (r *SuspectReporter) merge(sender Member, m *peeringpb.ExchangeMessage) {
	now := r.members.now()
	for _, reported := range m.GetSuspects() {
		s := suspectFromProto(reported, now)
		if r.tracker.Merge(s) && sender.Zone != r.members.Self().Zone {
			r.announce(report{suspect: s, localOnly: true})
		}
	}
	if age := m.GetSuspectsHistoryMs(); age > 0 {
		before := r.tracker.HistoryAge(now)
		r.tracker.MergeHistory(fromMilliseconds(age), now)
		if before < suspects.QuarantineTime && r.tracker.HistoryAge(now) == suspects.QuarantineTime {
			r.members.logger.Info("all quarantines are known", "origin", sender.ID)
		}
	}
}

func suspectsToProto(batch []suspects.Suspect, now time.Time) []*peeringpb.Suspect {
	var out []*peeringpb.Suspect
	for _, s := range batch {
		out = append(out, suspectToProto(s, now))
	}
	return out
}

func suspectToProto(s suspects.Suspect, now time.Time) *peeringpb.Suspect {
	m := &peeringpb.Suspect{Fingerprint: s.Fingerprint, Unanswered: s.Unanswered}
	for _, loss := range s.Losses {
		m.Losses = append(m.Losses, &peeringpb.Loss{
			Server:  loss.Server,
			BeganUs: toMicroseconds(now.Sub(loss.Began)),
			EndedUs: toMicroseconds(now.Sub(loss.Ended)),
			Refuted: loss.Refuted,
		})
	}
	return m
}

func suspectFromProto(m *peeringpb.Suspect, now time.Time) suspects.Suspect {
	s := suspects.Suspect{Fingerprint: m.GetFingerprint(), Unanswered: m.GetUnanswered()}
	for _, loss := range m.GetLosses() {
		s.Losses = append(s.Losses, suspects.Loss{
			Server:  loss.GetServer(),
			Refuted: loss.GetRefuted(),
			Began:   now.Add(-fromMicroseconds(loss.GetBeganUs())),
			Ended:   now.Add(-fromMicroseconds(loss.GetEndedUs())),
		})
	}
	return s
}

func toMicroseconds(d time.Duration) uint64 { return uint64(max(d.Microseconds(), 0)) }

// fromMicroseconds caps ages, which other instances state, at the time after which a suspicion
// has ended in any case.
func fromMicroseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64(suspects.QuarantineTime/time.Microsecond))) * time.Microsecond
}
