package peering

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Guards against a round trip that contains the wait of a busy processor, against one that
// never grows again, and against forgetting it when nothing is measured for long.
func TestRoundTripIsTheLeastRecentOne(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRoundTrips(func() time.Time { return now })
	_, known := r.RoundTrip("z2")
	assert.Assert(t, !known)
	for _, step := range []struct {
		after      time.Duration
		took, want time.Duration
	}{
		{0, 9, 9}, {time.Second, 7, 7}, {time.Second, 30, 7},
		{roundTripWindow, 20, 7}, {roundTripWindow, 25, 20}, {10 * roundTripWindow, 40, 25},
	} {
		now = now.Add(step.after)
		r.Record("z2", step.took)
		got, _ := r.RoundTrip("z2")
		assert.Equal(t, got, step.want)
	}
	now = now.Add(100 * roundTripWindow)
	_, known = r.RoundTrip("z2")
	assert.Assert(t, known)
}

// Guards against exchanges and calls for parts that are not measured.
func TestRoundTripsAreMeasured(t *testing.T) {
	for name, call := range map[string]func(p peerFixture){
		"exchange": func(p peerFixture) {
			exchanger := wiredExchanger(p.members, p.client, func() []string { return nil })
			exchanger.call(context.Background(), Member{ID: "served", Zone: "z2", Address: p.address}, &peeringpb.ExchangeMessage{Sender: memberIn("self", "z1").toProto(0), Brief: true})
		},
		"parts": func(p peerFixture) {
			relay := NewRelays(p.members, p.client).Pick("z2")
			_ = relay.Gather(context.Background(), partsCallOf("s0"), func() {}, func(*forward.PartsResult) {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := servePeer(t, stubFeed{}, &stubGatherer{results: []*forward.PartsResult{{Final: true}}})
			call(p)
			trip, known := p.members.RoundTrips().RoundTrip("z2")
			assert.Assert(t, known && trip > 0 && trip < time.Second, "%v", trip)
		})
	}
}
