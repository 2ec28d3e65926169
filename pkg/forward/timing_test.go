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
		due := newTiming(&routing.Route{TargetLatency: target}, &Request{Arrived: arrived}, work)
		assert.Assert(t, due.cutoff.Add(returnTrip).Before(arrived.Add(target)), "%v", target)
	}
}
