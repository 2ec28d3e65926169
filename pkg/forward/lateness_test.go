package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a belief that stays when its reason is gone, and against one that changes
// without a line in the log or with a line for each request.
func TestLatenessFollowsTheShardsOfARoute(t *testing.T) {
	simulate(t, func(t *testing.T, w *world) {
		route := w.sharded(20, 0.89)
		w.settle(route)
		slow := []string{"s03.a", "s03.b", "s07.a", "s07.b", "s11.a", "s11.b"}
		for _, id := range slow {
			w.set(id, answersAfter(400*time.Millisecond))
		}
		for range 8 {
			w.ask(background, route)
		}
		assert.Assert(t, w.engine.lateness.share(route.Name, time.Now()) > 0.1)
		assert.Equal(t, len(w.lateness), 1, "%v", w.lateness)
		assert.Assert(t, w.lateness[0].Exceeds)
		for _, id := range slow {
			w.set(id, answersAfter(work))
		}
		for range 8 {
			w.ask(background, route)
			time.Sleep(500 * time.Millisecond)
		}
		assert.Assert(t, w.engine.lateness.share(route.Name, time.Now()) < 0.1)
		assert.Equal(t, len(w.lateness), 2, "%v", w.lateness)
		assert.Assert(t, !w.lateness[1].Exceeds)
		time.Sleep(2 * latenessMemory)
		assert.Equal(t, w.engine.lateness.share(route.Name, time.Now()), 0.0)
	})
}
