package replicas

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// warmUpOf states the same warm-up of all services.
func warmUpOf(w WarmUp) func(string) WarmUp { return func(string) WarmUp { return w } }

// Guards against a zone that gets all its requests back at once, or never, and against instances
// that send to it together: the choices of many draws follow the share.
func TestZoneReturnsAlongARamp(t *testing.T) {
	const warmUp = 3 * time.Second
	returned := time.Unix(1000, 0)
	tracker := New("z0", wholeLimit{}, func(Change) {})
	tracker.WarmUps = warmUpOf(WarmUp{Time: warmUp})
	back := &directory.Server{BackendServer: membership.BackendServer{ID: "back"}, ReturnedAt: returned}
	other := &directory.Server{BackendServer: membership.BackendServer{ID: "other"}}
	draws := rand.New(rand.NewPCG(1, 2))
	for after, share := range map[time.Duration]float64{0: 0, 600 * time.Millisecond: 0.2, 1500 * time.Millisecond: 0.5, 2700 * time.Millisecond: 0.9, warmUp: 1, time.Hour: 1} {
		const choices = 10000
		admitted := 0
		for range choices {
			left := tracker.WithoutReturning([]*directory.Server{back, other}, draws.Float64(), returned.Add(after))
			assert.Equal(t, left[len(left)-1], other)
			admitted += len(left) - 1
		}
		assert.Assert(t, float64(admitted) >= (share-0.02)*choices && float64(admitted) <= (share+0.02)*choices, "%d of %d after %v", admitted, choices, after)
	}
	assert.Equal(t, ReturnShare(-time.Second, warmUp), 0.0)
	assert.Equal(t, ReturnShare(0, 0), 1.0) // the table states no warm-up time
}
