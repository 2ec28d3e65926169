package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// wholeLimit gives one instance the whole limit of a server.
type wholeLimit struct{}

func (wholeLimit) RateShare(_, _ string, limit float64) float64 { return limit }

// Guards against more requests than the share of a limit allows in any span of time, whatever
// the gaps between them.
func TestRateStaysWithinTheShare(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.2, 60).Draw(t, "share")
		now := time.Unix(1000, 0)
		var l rateLimit
		l.observe(share, now, now)
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap_ms")) * time.Millisecond)
			for l.refill(share, now); l.delay(share) == 0 && len(sent) < 5000; {
				l.take()
				sent = append(sent, now)
			}
		}
		allowed := share*(window+rateBurst).Seconds() + 1
		first := 0
		for last := range sent {
			for sent[last].Sub(sent[first]) > window {
				first++
			}
			assert.Assert(t, float64(last-first+1) <= allowed, "%d requests in %v at %.2f a second", last-first+1, window, share)
		}
	})
}

// Guards against reservations that all wait equally long, and against losing those that are
// not used.
func TestReservationsQueueUp(t *testing.T) {
	now := time.Unix(1000, 0)
	var l rateLimit
	l.observe(10, now, now)
	assert.Equal(t, l.delay(10), 100*time.Millisecond)
	l.take()
	assert.Equal(t, l.delay(10), 200*time.Millisecond)
	l.giveBack()
	assert.Equal(t, l.delay(10), 100*time.Millisecond)
	assert.Equal(t, l.delay(1e-9), maxRateDelay)
}

// Guards against a limit that outlives the server's need, and against lifting it because of
// a reply that was already on its way.
func TestRateLimitHoldsWhileItIsNamed(t *testing.T) {
	now := time.Unix(1000, 0)
	var l rateLimit
	l.observe(10, now, now)
	l.observe(0, now.Add(-time.Millisecond), now.Add(time.Millisecond))
	assert.Equal(t, l.limit, 10.0)
	l.observe(0, now.Add(time.Millisecond), now.Add(time.Second))
	assert.Equal(t, l.limit, 0.0)
}
