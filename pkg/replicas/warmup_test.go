package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Guards against a cold server without a limit, a warm one with a limit, and a limit where the
// table states none. A server is cold as its entry says, as a reply says, and after the return of
// its zone until it writes an entry.
func TestColdServersAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	const warmUp = 3 * time.Second
	for name, c := range map[string]struct {
		server    directory.Server
		stated    time.Duration // by a reply
		rate      float64
		coldFor   time.Duration
		unlimited bool
	}{
		"entry says so":           {server: directory.Server{WarmAt: now.Add(2 * time.Second)}, rate: 4, coldFor: 2 * time.Second},
		"reply says so":           {stated: time.Second, rate: 4, coldFor: time.Second},
		"zone has returned":       {server: directory.Server{ReturnedAt: now, ColdAssumed: true}, rate: 4, coldFor: warmUp},
		"entry after the return":  {server: directory.Server{ReturnedAt: now, WarmAt: now.Add(time.Second)}, rate: 4, coldFor: time.Second},
		"warm":                    {rate: 4, unlimited: true},
		"no rate for the service": {server: directory.Server{WarmAt: now.Add(time.Second)}, unlimited: true},
		"warm entry after return": {server: directory.Server{ReturnedAt: now}, rate: 4, unlimited: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New("z0", wholeLimit{}, func(Change) {})
			tracker.WarmUps = warmUpOf(WarmUp{Time: warmUp, Rate: c.rate})
			c.server.BackendServer = membership.BackendServer{ID: "a", Service: "s", Zone: "z0"}
			if c.stated > 0 {
				a := tracker.Begin(&c.server, "r", now, now)
				a.Observe(Notice{ColdFor: c.stated}, now)
				a.End(Answered, now)
			}
			delayAfter := func(d time.Duration) time.Duration {
				choice, ok := tracker.Choose([]*directory.Server{&c.server}, "r", func(string) bool { return false }, now.Add(d))
				assert.Assert(t, ok)
				return choice.RateDelay
			}
			if c.unlimited {
				assert.Equal(t, delayAfter(0), time.Duration(0))
				return
			}
			assert.Equal(t, delayAfter(0), 250*time.Millisecond)
			assert.Equal(t, delayAfter(250*time.Millisecond), time.Duration(0))
			tracker.Begin(&c.server, "r", now.Add(250*time.Millisecond), now).End(Answered, now)
			assert.Assert(t, delayAfter(c.coldFor-10*time.Millisecond) >= 0)
			assert.Equal(t, delayAfter(c.coldFor), time.Duration(0))
		})
	}
}

// Guards against a limit that a server names and that is lost when the server gets warm, and
// against the higher one of two limits.
func TestLowerOfTwoLimitsHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	var l rateLimit
	l.observe(10, now, now)
	l.setCold(4, now)
	assert.Equal(t, l.lowest(), 4.0)
	l.observe(2, now, now)
	assert.Equal(t, l.lowest(), 2.0)
	l.setCold(0, now)
	assert.Equal(t, l.lowest(), 2.0)
	l.setCold(4, now)
	l.observe(0, now.Add(time.Second), now.Add(time.Second))
	assert.Equal(t, l.lowest(), 4.0)
	l.setCold(0, now)
	assert.Equal(t, l.lowest(), 0.0)
}
