package forward

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an overload in which nearly all requests are late because all are admitted: the
// servers can do half of what is asked for. Counted is what is answered within the target.
func TestBurstBeyondAllServersIsRefusedInPart(t *testing.T) {
	simulate(t, func(t *testing.T, tb *testbed) {
		tb.engine.refuseInOverload = true
		urgent := tb.shardedRoute(8, 0.75)
		full := lessUrgent(urgent)
		tb.warmUp(urgent)
		tb.warmUp(full)
		for i := range 8 {
			for _, server := range []string{"a", "b"} {
				tb.setBehaviour(fmt.Sprintf("s%02d.%s", i, server), tb.counted(queuedServer(50*time.Millisecond)))
			}
		}
		// Each shard serves 80 requests a second; each priority sends 80.
		var group sync.WaitGroup
		var ofUrgent, ofFull int
		group.Go(func() { ofUrgent, _, _ = tb.sendLoad(urgent, 80, 10*time.Second) })
		group.Go(func() { ofFull, _, _ = tb.sendLoad(full, 80, 10*time.Second) })
		group.Wait()
		assert.Assert(t, ofUrgent+ofFull >= 300, "%d and %d of 800 each", ofUrgent, ofFull)
		assert.Assert(t, ofUrgent > ofFull, "%d and %d of 800 each", ofUrgent, ofFull)
	})
}
