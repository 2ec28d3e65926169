package peering

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// FuzzMessages guards against a message of another instance that ends the process, or whose
// numbers are out of range when they are used.
func FuzzMessages(f *testing.F) {
	for _, m := range []proto.Message{
		&peeringpb.PartsRequest{Services: []string{"s"}, Top: math.MaxUint32, MaxAttempts: math.MaxUint32, DeadlineMs: math.MaxUint32, CutoffMs: 1, Missable: float32(math.NaN()), Connections: []uint32{math.MaxUint32}, Priority: math.MinInt32},
		&peeringpb.PartsReply{Final: true, Lost: []*peeringpb.Lost{{Index: math.MaxUint32, Arrivals: math.MaxUint32}}, Parts: []*peeringpb.Part{{Index: math.MaxUint32}}},
		&peeringpb.ExchangeMessage{AgesMs: []uint32{math.MaxUint32}, Suspects: []*peeringpb.Suspect{{Losses: []*peeringpb.Loss{{Server: "a", BeganUs: math.MaxUint64, EndedUs: math.MaxUint64}}}}},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	now := time.Unix(1000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		var request peeringpb.PartsRequest
		if proto.Unmarshal(data, &request) == nil {
			call := partsCall(&request, now)
			assert.Assert(t, call.Top >= 0 && call.Top <= maxTop && call.MaxAttempts >= 0 && call.MaxAttempts <= maxAttempts)
			assert.Assert(t, call.MaxMissingShare >= 0 && call.MaxMissingShare <= 1)
			assert.Assert(t, !call.Deadline.Before(now) && !call.Cutoff.Before(now) && call.Target >= 0 && call.HedgeAfter >= 0)
			for _, n := range call.MaxConnections {
				assert.Assert(t, n >= 0 && n <= maxConnections)
			}
		}
		var reply peeringpb.PartsReply
		if proto.Unmarshal(data, &reply) == nil {
			for _, lost := range partsResult(&reply).Lost {
				assert.Assert(t, lost.Index >= 0 && lost.Arrivals >= 0 && lost.Arrivals <= maxAttempts)
			}
		}
		var exchange peeringpb.ExchangeMessage
		if proto.Unmarshal(data, &exchange) == nil {
			assert.Assert(t, memberFromProto(exchange.GetSender()).Millicores >= 0)
			for _, m := range exchange.GetSuspects() {
				for _, loss := range suspectFromProto(m, now).Losses {
					assert.Assert(t, !loss.Ended.After(now) && now.Sub(loss.Ended) <= suspects.QuarantineTime)
				}
			}
		}
	})
}

// Guards against a time that wraps around on its way to another instance.
func TestTimesOfMessagesAreBounded(t *testing.T) {
	for d, want := range map[time.Duration]uint32{-time.Hour: 0, time.Second: 1000, 50 * 24 * time.Hour: math.MaxUint32, math.MaxInt64: math.MaxUint32} {
		assert.Equal(t, toMilliseconds(d), want)
	}
}
