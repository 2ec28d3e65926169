package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lateness that stays high after the shards are fast again, and against
// changes that are not reported or are reported with each request.
func TestLatenessFollowsTheShardsOfARoute(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(20, 0.89)
		tb.warmUp(route)
		slow := []string{"s03.a", "s03.b", "s07.a", "s07.b", "s11.a", "s11.b"}
		for _, id := range slow {
			tb.setBehaviour(id, answersAfter(400*time.Millisecond))
		}
		for range 8 {
			tb.ask(background, route)
		}
		assert.Assert(t, tb.engine.lateness.share(route.Name, time.Now()) > 0.1)
		assert.Equal(t, len(tb.lateness), 1, "%v", tb.lateness)
		assert.Assert(t, tb.lateness[0].Exceeds)
		for _, id := range slow {
			tb.setBehaviour(id, answersAfter(work))
		}
		for range 8 {
			tb.ask(background, route)
			time.Sleep(500 * time.Millisecond)
		}
		assert.Assert(t, tb.engine.lateness.share(route.Name, time.Now()) < 0.1)
		assert.Equal(t, len(tb.lateness), 2, "%v", tb.lateness)
		assert.Assert(t, !tb.lateness[1].Exceeds)
		time.Sleep(2 * latenessExpiry)
		assert.Equal(t, tb.engine.lateness.share(route.Name, time.Now()), 0.0)
	})
}
