package peering

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// Guards against more requests at a cold server than it takes in any second, summed over all
// instances, each of which sends as much as it may. Instances restart meanwhile, the server
// becomes cold again, and a third of the members, which have started last, may be unknown to the
// others.
func TestColdServerStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 60).Draw(t, "per_second")
		overage := rapid.SampledFrom([]float64{1, 1.5}).Draw(t, "overage")
		slack := rapid.SampledFrom([]float64{0, 5}).Draw(t, "slack")
		unknown := rapid.Bool().Draw(t, "third_unknown")
		var all []Member
		for n := range rapid.IntRange(1, 24).Draw(t, "instances") {
			member := memberIn(fmt.Sprint("i", n), rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"))
			member.Millicores = rapid.SampledFrom([]int{134, 192, 800}).Draw(t, "millicores")
			all = append(all, member)
		}
		newTracker := func(n int) *replicas.Tracker {
			self, startedLast := all[n], n%3 == 0
			m := NewMembers(self, time.Now, slog.New(slog.DiscardHandler))
			for n, other := range all {
				if !unknown || n%3 != 0 || startedLast {
					m.Merge(other, 0)
				}
			}
			tracker := replicas.New(self.Zone, m, func(replicas.Change) {})
			rate := replicas.ColdRate(perSecond, overage, slack)
			tracker.WarmUps = func(string) replicas.WarmUp { return replicas.WarmUp{Time: 3 * time.Second, Rate: rate} }
			return tracker
		}
		var trackers []*replicas.Tracker
		for n := range all {
			trackers = append(trackers, newTracker(n))
		}
		const step = 50 * time.Millisecond
		start := time.Unix(1000, 0)
		var sent []time.Time
		for at := time.Duration(0); at < 6*time.Second; at += step {
			now := start.Add(at)
			server := &directory.Server{BackendServer: membership.BackendServer{ID: "server", Service: "s", Zone: "z1"}, Capacity: 2,
				WarmAt: start.Add(at.Truncate(3 * time.Second)).Add(3 * time.Second)}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				n := rapid.IntRange(0, len(all)-1).Draw(t, "restarted")
				trackers[n] = newTracker(n)
			}
			for _, tracker := range trackers {
				for {
					choice, ok := tracker.Choose([]*directory.Server{server}, "r", func(string) bool { return false }, now)
					if !ok || choice.RateDelay > 0 {
						break
					}
					tracker.Begin(server, "r", now, now).End(replicas.Refused, now)
					sent = append(sent, now)
					assert.Assert(t, len(sent) < 10000)
				}
			}
		}
		first := 0
		for last := range sent {
			for sent[last].Sub(sent[first]) > time.Second {
				first++
			}
			assert.Assert(t, float64(last-first+1) <= perSecond*overage+slack, "%d requests in a second, at %.2f a second", last-first+1, perSecond)
		}
	})
}
