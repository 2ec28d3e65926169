package peering

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Guards against a reply to a watch that fills the memory of the instance that asked.
func TestWatchReplyIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		zeros := make([]byte, 1<<20)
		for sent := 0; sent < 2*maxReplyBytes; sent += len(zeros) {
			if _, err := w.Write(zeros); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	_, err := NewClient().Watch(context.Background(), server.Listener.Addr().String(), &peeringpb.WatchRequest{})
	assert.ErrorContains(t, err, "too large")
}
