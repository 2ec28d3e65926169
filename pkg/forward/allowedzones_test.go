package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// homeRegions names the regions of the zones of the tests: the remote zone is abroad.
var homeRegions = map[string]string{localZone: "home", remoteZone: "abroad", "third": "home"}

// Guards against a request that reaches a server in another region as a first attempt, a hedge, a
// retry or a last resort, or whose body reaches an instance there, and against a request that is
// held back although no server may get it.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(tb *testbed)
		regions []string
		reached string // suffix of the servers that get requests
		refused bool
	}{
		"first attempt":               {regions: []string{"abroad"}, reached: ".b"},
		"hedge":                       {regions: []string{"home"}, reached: ".a", prepare: func(tb *testbed) { tb.setBehaviour("one.a", tb.counted(answersAfter(time.Second))) }},
		"retry":                       {regions: []string{"home"}, reached: ".a", refused: true, prepare: func(tb *testbed) { tb.setBehaviour("one.a", tb.counted(fails)) }},
		"unreachable":                 {regions: []string{"home"}, refused: true, prepare: func(tb *testbed) { tb.setBehaviour("one.a", unreachable) }},
		"last resort at home":         {regions: []string{"home"}, reached: ".a", prepare: func(tb *testbed) { tb.drain("one", "one.a", localZone, 0) }},
		"last resort abroad":          {regions: []string{"home"}, refused: true, prepare: func(tb *testbed) { tb.directory.DrainZone(localZone); tb.drain("one", "one.b", remoteZone, 0) }},
		"region without servers":      {regions: []string{"nowhere"}, refused: true},
		"zone without a known region": {regions: []string{"abroad"}, refused: true, prepare: func(tb *testbed) { tb.engine.regions = map[string]string{localZone: "home"} }},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.singleRoute(true)
				tb.warmUp(route)
				tb.engine.regions = homeRegions
				route.AllowedRegions = test.regions
				if test.prepare != nil {
					test.prepare(tb)
				}
				time.Sleep(time.Millisecond)
				answer, _ := tb.ask(background, route)
				assert.Equal(t, answer.Refusal != nil || answer.Reply.Status != 200, test.refused)
				if name != "unreachable" {
					assert.Equal(t, answer.Trace.Attempts, tb.arrivalCount()) // none is chosen and then not sent
				}
				for _, suffix := range []string{".a", ".b"} {
					assert.Equal(t, tb.reached(suffix), suffix == test.reached, suffix)
				}
			})
		})
	}
}

// Guards against a relay abroad that gets the body, and against one at home that asks servers
// abroad, also with a hedge.
func TestRelaysKeepARequestInItsRegions(t *testing.T) {
	for name, regions := range map[string][]string{"home": {"home"}, "abroad": {"abroad"}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, tb *testbed) {
				route := tb.remoteShardedRoute(5)
				for _, service := range route.Shards {
					tb.addServer(service, service+".c", "third")
					tb.setBehaviour(service+".b", tb.counted(answersAfter(300*time.Millisecond)))
					tb.setBehaviour(service+".c", tb.counted(answersAfter(300*time.Millisecond)))
				}
				tb.engine.regions = homeRegions
				route.AllowedRegions = regions
				relay := tb.addRelay()
				home := &testRelay{engine: tb.newEngine("third", noRelays{})}
				tb.relays["third"] = home
				answer, _ := tb.ask(background, route)
				assert.Assert(t, answer.Refusal == nil)
				assert.Equal(t, answer.Trace.Attempts, tb.arrivalCount()) // none is chosen and then not sent
				assert.Equal(t, relay.calls.Load() > 0, name == "abroad")
				assert.Equal(t, home.calls.Load() > 0, name == "home")
				assert.Equal(t, tb.reached(".b"), name == "abroad")
				assert.Equal(t, tb.reached(".c"), name == "home")
			})
		})
	}
}

// Guards against a restriction where the settings state no regions: such deployments are served
// as before.
func TestNoRegionsInTheSettings(t *testing.T) {
	engine := &Engine{}
	assert.Assert(t, engine.allowedZones(&routing.Route{AllowedRegions: []string{"home"}}) == nil)
	engine.regions = homeRegions
	assert.Assert(t, engine.allowedZones(&routing.Route{}) == nil)
	assert.DeepEqual(t, engine.allowedZones(&routing.Route{AllowedRegions: []string{"home"}}), []string{localZone, "third"})
}

// Guards against sending to a server abroad that a later change lets a choice fall on: the check
// right before sending does not rely on the choice.
func TestServersAbroadAreNotSentTo(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		tb.addService("one")
		r := &activeRequest{engine: tb.engine, allowedZones: []string{localZone}}
		for _, server := range tb.directory.Servers("one") {
			assert.Equal(t, r.mayUse(server), server.Zone == localZone)
		}
	})
}

// Guards against a relay that chooses a server abroad for its first attempt because it is near.
func TestRelayChoosesOnlyAllowedServers(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		tb.addService("one")
		now := time.Now()
		var final *PartsResult
		tb.engine.Gather(background, &PartsCall{Request: &Request{ID: "id", Arrived: now}, Route: "r", Services: []string{"one"}, Zones: []string{remoteZone},
			MaxAttempts: 2, Target: time.Second, Cutoff: now.Add(time.Second), Deadline: now.Add(2 * time.Second)},
			func(result *PartsResult) { final = result })
		assert.DeepEqual(t, tb.arrivals, []string{"one one.b"})
		assert.Equal(t, final.Attempts, 1)
	})
}

// Guards against servers abroad in the list of a request that was held back because it may crash
// servers: the list is read again after the delay.
func TestHeldBackRequestStaysInItsRegions(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		route := tb.singleRoute(true)
		tb.engine.regions = homeRegions
		route.AllowedRegions = []string{"home"}
		r := newActiveRequest(tb.engine, route, &Request{ID: "id", Arrived: time.Now()}, func(string) int { return 0 })
		defer r.release()
		for _, server := range []string{"x", "y"} {
			tb.engine.suspects.RecordLoss(r.crashes.fingerprint, suspects.Loss{Server: server, Began: time.Now(), Ended: time.Now()})
		}
		r.holdBack(background)
		for _, server := range r.shardRequests[0].servers {
			assert.Equal(t, server.Zone, localZone)
		}
	})
}
