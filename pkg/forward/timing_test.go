package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Guards against partial answers that go out at the cutoff and reach their callers just
// after the target: opening the connection, the request and the answer take two round
// trips, 10 ms in the median.
func TestAnswerAtTheCutoffReachesItsCallerInTime(t *testing.T) {
	const returnTrip = 10 * time.Millisecond
	arrived := time.Now()
	for _, target := range []time.Duration{80 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond} {
		due := newTiming(&routing.Route{TargetLatency: target}, &Request{Arrived: arrived}, work, ownWorkTime(1))
		assert.Assert(t, due.cutoff.Add(returnTrip).Before(arrived.Add(target)), "%v", target)
	}
}

// Guards against answers at the cutoff that miss their callers by a few milliseconds where these
// are far away or the instance has little processor time, and against parts that are left out
// where both cost little: with one margin for all, a third of the urgent answers came late at
// instances with 0.192 cores and 6.4 ms round trip, each by 2 to 10 ms.
func TestCutoffFollowsTheRoundTripAndTheProcessorTime(t *testing.T) {
	const target = 80 * time.Millisecond
	arrived := time.Now()
	left := func(networkTime time.Duration, cores float64) time.Duration {
		request := &Request{Arrived: arrived, NetworkTime: networkTime}
		return newTiming(&routing.Route{TargetLatency: target}, request, work, ownWorkTime(cores)).cutoff.Sub(arrived)
	}
	const roundTrip = 6400 * time.Microsecond
	assert.Assert(t, left(2*roundTrip, 0.192)+2*roundTrip+10*time.Millisecond <= target, "a new connection")
	assert.Assert(t, left(roundTrip, 0.192)-left(2*roundTrip, 0.192) == roundTrip, "a kept connection saves one round trip")
	assert.Assert(t, left(2*time.Millisecond, 0.8) > left(2*time.Millisecond, 0.192), "more processor time leaves more for parts")
	assert.Assert(t, left(2*time.Millisecond, 0.01) >= target-2*time.Millisecond-maxOwnWork, "a weak instance still waits for parts")
	assert.Assert(t, left(time.Second, 1) >= target/2, "a round trip beyond the target leaves half of it")
}

// Guards against an engine that does not know the processor time of its instance: its answers at
// the cutoff went out without time for its own work, and two thirds of the urgent ones were late.
func TestEngineKeepsTimeForItsOwnWork(t *testing.T) {
	weak, strong := New(Config{Cores: 0.192}), New(Config{Cores: 1})
	assert.Equal(t, weak.ownWork, ownWorkTime(0.192))
	assert.Equal(t, strong.ownWork, minOwnWork)
	assert.Equal(t, New(Config{}).ownWork, maxOwnWork)
}
