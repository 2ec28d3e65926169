package feed

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries whose revision is lost: an entry that is read again with a complete list
// could not be told from a new one, and would make its server cold again.
func TestServersKnowTheRevisionOfTheirEntry(t *testing.T) {
	simulate(t, func(ctx context.Context, store *fakeStore) {
		f := startFollower(ctx, store, noPeers{})
		<-f.Ready()
		assert.Equal(t, f.directory.Servers("s")[0].Revision, int64(2)) // from the complete read
		store.write("server/a", "live")
		time.Sleep(propagationTime)
		assert.Equal(t, f.directory.Servers("s")[0].Revision, int64(4)) // from the watch
	})
}
