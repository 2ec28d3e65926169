package instance

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/lifecycle"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// Guards against requests that are cut without an answer when they are still in progress
// at the end of a shutdown, also when requests of other instances are slow to end.
func TestStopAnswersRequestsThatTakeTooLong(t *testing.T) {
	l := lifecycle.New(lifecycle.Config{})
	arrived := make(chan struct{}, 2)
	untilCancelled := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		_, _ = w.Write([]byte("partial"))
	})
	var listeners []*listener
	ask := func(name string) chan string {
		built, err := newListener(name, "127.0.0.1:0", nil, nil, untilCancelled, settings.Default().Limits)
		assert.NilError(t, err)
		if name == callerListener {
			built.server.BaseContext = l.BaseContext
		}
		listeners = append(listeners, built)
		go func() { _ = built.Serve(context.Background()) }()
		body := make(chan string, 1)
		go func() {
			response, err := http.Get("http://" + built.socket.Addr().String())
			if err != nil {
				body <- err.Error()
				return
			}
			defer response.Body.Close()
			text, _ := io.ReadAll(response.Body)
			body <- string(text)
		}()
		<-arrived
		return body
	}
	ask("peer")
	answer := ask(callerListener)
	err := stopListeners(t.Context(), listeners, 500*time.Millisecond, 300*time.Millisecond, l.Interrupt)
	assert.ErrorContains(t, err, "deadline exceeded") // the request of the other instance
	assert.Equal(t, <-answer, "partial")
}
