package forward

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Guards against an explanation that names another server or relay than a request uses, that
// sends requests, or that charges the budget.
func TestExplanationAgreesWithARequest(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		simulate(t, func(t *testing.T, tb *testbed) {
			route := tb.shardedRoute(5, 1)
			relay := tb.addRelay()
			if adaptive {
				tb.decideZones(tb.engine, relay.engine)
			}
			tb.warmUp(route)
			tb.directory.Remove("s03.a", time.Time{}) // only the server of the other zone is left
			time.Sleep(10 * time.Second)
			left := tb.budget.Remaining("s00", time.Now())
			table := routing.NewTable(7, nil, nil, routing.Limits{})
			x := tb.engine.ExplainRoute(table, route, time.Now())
			assert.Equal(t, tb.arrivalCount(), 0)
			assert.Equal(t, tb.budget.Remaining("s00", time.Now()), left)
			assert.Equal(t, x.Table, int64(7))
			assert.Equal(t, x.Refused, "")
			assert.Equal(t, x.Services[3].Relay, "peer")
			assert.Assert(t, slices.Contains(x.Services[3].Servers[0].Reasons, "in another zone"))
			tb.ask(background, route)
			for _, s := range x.Services {
				assert.Assert(t, slices.Contains(tb.arrivals, s.Service+" "+s.Server), "%s: %v", s.Server, tb.arrivals)
			}
		})
	}
}

// Guards against an explanation that names a server for a request that would be refused.
func TestExplanationOfARefusal(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.shardedRoute(5, 1)
		for _, id := range []string{"s02.a", "s02.b"} {
			tb.directory.Remove(id, time.Time{})
		}
		time.Sleep(10 * time.Second)
		table := routing.NewTable(7, nil, nil, routing.Limits{})
		x := tb.engine.ExplainRoute(table, route, time.Now())
		assert.Equal(t, x.Refused, string(NoServer))
		assert.Equal(t, x.Services[2].Server, "")
		answer, _ := tb.ask(background, route)
		assert.Equal(t, answer.Refusal.Reason, NoServer)
		assert.Equal(t, tb.engine.ExplainRoute(table, nil, time.Now()).Refused, string(NoRoute))
	})
}
