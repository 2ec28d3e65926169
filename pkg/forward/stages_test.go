package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// Guards against a slow answer whose log line does not tell whether it waited for capacity or
// for one shard.
func TestStagesTellWhereTheTimeWent(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(4, 1)
		tb.warmUp(route)
		tb.setBehaviour("s02.a", tb.counted(answersAfter(25*time.Millisecond)))
		answer, _ := tb.ask(background, route)
		assert.DeepEqual(t, answer.Trace.Stages, Stages{FirstPart: work, LastPart: 10 * time.Millisecond})
	})
}

// Guards against a wait for a server's concurrency limit that the stages do not show.
func TestStagesShowTheWaitForCapacity(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(1, 1)
		tb.directory.Remove("s00.b", time.Time{})
		tb.warmUp(route)
		server := tb.directory.Servers("s00")[0]
		tb.limit(server, route)
		now := time.Now()
		running := []*replicas.Attempt{tb.engine.tracker.Begin(server, route.Name, now, now), tb.engine.tracker.Begin(server, route.Name, now, now)}
		time.AfterFunc(25*time.Millisecond, func() {
			for _, a := range running {
				a.End(replicas.Answered, time.Now())
			}
		})
		answer, took := tb.ask(background, route)
		assert.Equal(t, answer.Trace.Stages.Wait, 30*time.Millisecond) // the next poll after 25 ms
		assert.Equal(t, took, 30*time.Millisecond+work)
	})
}
