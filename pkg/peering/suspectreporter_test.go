package peering

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

const reportedRequest = uint64(42)

// suspectOf returns a request with the given number of losses, one after the other.
func suspectOf(losses int) suspects.Suspect {
	s := suspects.Suspect{Fingerprint: reportedRequest}
	first := time.Now().Add(-time.Second)
	for n := range losses {
		ended := first.Add(time.Duration(n) * 10 * time.Millisecond)
		s.Losses = append(s.Losses, suspects.Loss{Server: fmt.Sprint("server/", n), Began: ended.Add(-5 * time.Millisecond), Ended: ended})
	}
	return s
}

// reportingInstance is an instance that serves others on the loopback interface.
type reportingInstance struct {
	members   *Members
	tracker   *suspects.Tracker
	reporter  *SuspectReporter
	exchanger *Exchanger
	member    Member
}

func newReportingInstance(t *testing.T, id, zone string) *reportingInstance {
	quiet := slog.New(slog.DiscardHandler)
	i := &reportingInstance{tracker: suspects.NewTracker(func(suspects.Change) {})}
	client := NewClient()
	server := httptest.NewUnstartedServer(nil)
	i.member = memberIn(id, zone)
	i.member.Address = server.Listener.Addr().(*net.TCPAddr).String()
	i.members = NewMembers(i.member, time.Now, quiet)
	relays := NewRelays(i.members, client)
	i.reporter = NewSuspectReporter(i.members, client, relays, i.tracker)
	i.exchanger = NewExchanger(i.members, client, relays, i.reporter, func() []string { return nil })
	server.Config.Handler = NewServer(i.exchanger, stubFeed{}, &stubGatherer{}, quiet)
	server.Start()
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = i.reporter.Serve(ctx) }()
	return i
}

func newReportingInstances(t *testing.T, n, zones int) []*reportingInstance {
	var all []*reportingInstance
	for k := range n {
		all = append(all, newReportingInstance(t, fmt.Sprint("i", k), fmt.Sprint("z", k%zones)))
	}
	for _, one := range all {
		for _, other := range all {
			one.members.Merge(other.member, 0)
		}
	}
	return all
}

func (i *reportingInstance) losses() int {
	return i.tracker.Verdict(reportedRequest, time.Now()).Losses
}

// everyoneKnows waits until all instances know the number of losses.
func everyoneKnows(t *testing.T, all []*reportingInstance, losses int) {
	deadline := time.Now().Add(5 * time.Second)
	for _, i := range all {
		for i.losses() != losses {
			assert.Assert(t, time.Now().Before(deadline), "%s knows %d losses of %d", i.member.ID, i.losses(), losses)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Guards against a request that takes down servers through each instance in turn, because
// only the instances that have sent it know what it did. In the larger deployment a report
// does not reach all instances of other zones directly.
func TestReportsReachAllInstances(t *testing.T) {
	for _, n := range []int{3, 24} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			all := newReportingInstances(t, n, 3)
			s := suspectOf(suspects.MaxLosses - 1)
			all[0].tracker.Merge(s)
			all[0].reporter.Report(s)
			everyoneKnows(t, all, suspects.MaxLosses-1)
		})
	}
}

// Guards against an instance that restarts and forgets which requests are in quarantine.
func TestStartingInstanceLearnsOfQuarantines(t *testing.T) {
	all := newReportingInstances(t, 2, 2)
	all[1].tracker.Merge(suspectOf(suspects.MaxLosses))
	all[0].exchanger.exchange(context.Background(), all[1].member, all[0].exchanger.digestMessage())
	assert.Equal(t, all[0].losses(), suspects.MaxLosses)
}

// Guards against losses that change on their way between instances, which would change how
// many of them count.
func TestSuspectsTravelWithPartsAndReports(t *testing.T) {
	sent := suspectOf(suspects.MaxLosses + 1)
	sent.Losses[0].Refuted = true
	now := time.Now()
	for _, got := range []*suspects.Suspect{
		ptr(suspectFromProto(suspectToProto(sent, now), now.Add(time.Millisecond))),
		partsResult(partsReply(&forward.PartsResult{Final: true, Suspect: &sent})).Suspect,
	} {
		assert.Equal(t, got.Fingerprint, sent.Fingerprint)
		tracker := suspects.NewTracker(func(suspects.Change) {})
		tracker.Merge(*got)
		assert.Equal(t, tracker.Verdict(sent.Fingerprint, now).Losses, suspects.MaxLosses)
	}
}

func ptr[T any](value T) *T { return &value }

// Guards against an instance that never learns of a loss because it was not known yet when the
// report was sent, as shortly after a start: it would send the request on.
func TestReportIsRepeatedForInstancesKnownLater(t *testing.T) {
	all := newReportingInstances(t, 1, 1)
	s := suspectOf(1)
	all[0].tracker.Merge(s)
	all[0].reporter.Report(s)
	late := newReportingInstance(t, "late", all[0].member.Zone)
	time.Sleep(2 * reportInterval) // for the first report to go out
	all[0].members.Merge(late.member, 0)
	everyoneKnows(t, append(all, late), 1)
}
