package replicas

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Guards against choosing a server that other instances have filled or whose work takes long now,
// although it has said so, and against believing that after the value is stale.
func TestStatedLoadCountsWhileFresh(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, load := range map[string]*Load{
		"queue of others": {Running: 2, Waiting: 3, Slots: 2, Slowness: 1},
		"slow work":       {Slots: 2, Slowness: 2},
		"idle":            {Slots: 2, Slowness: 1},
		"nothing stated":  nil,
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New("z0", wholeLimit{}, func(Change) {})
			a := &directory.Server{BackendServer: membership.BackendServer{ID: "a", Zone: "z0"}, Capacity: 2}
			b := &directory.Server{BackendServer: membership.BackendServer{ID: "b", Zone: "z0"}, Capacity: 2}
			attempt := tracker.Begin(a, "r", now, now)
			attempt.Observe(Notice{Load: load}, now)
			attempt.End(Answered, now)
			chosenAfter := func(d time.Duration) string {
				choice, ok := tracker.Choose([]*directory.Server{a, b}, "r", func(string) bool { return false }, now.Add(d))
				assert.Assert(t, ok)
				return choice.Server.ID
			}
			busy := load != nil && (load.Waiting > 0 || load.Slowness > 1)
			assert.Equal(t, chosenAfter(loadFreshness-time.Millisecond), map[bool]string{true: "b", false: "a"}[busy])
			assert.Equal(t, chosenAfter(loadFreshness), "a")
		})
	}
}
