package feed

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// Guards against a log line for the same broken entry at each read, against one that is
// missing for its next revision, and against memory that grows with the keys.
func TestRejectionIsLoggedOncePerRevision(t *testing.T) {
	var out bytes.Buffer
	r := newRejections(slog.New(slog.NewTextHandler(&out, nil)))
	for _, item := range []Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 1}, {Key: "a", Revision: 1}, {Key: "a", Revision: 2}, {Key: "b", Revision: 1}} {
		r.record(item, eris.New("not valid"))
	}
	assert.Equal(t, r.count.Load(), int64(3))
	assert.Equal(t, strings.Count(out.String(), "published item cannot be used"), 3)
	for n := range 2 * maxRejectionsKept {
		r.record(Item{Key: fmt.Sprint(n)}, eris.New("not valid"))
	}
	assert.Assert(t, len(r.logged) <= maxRejectionsKept)
}
