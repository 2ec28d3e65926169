package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	keptCallers = 60
	keptPause   = 20 * time.Millisecond
	daemonStops = 2
)

// keptCaller searches on one connection for as long as it is open, also while its instance
// stops. As behind a load balancer, it opens new ones to instances that are ready.
type keptCaller struct {
	client   http.Client
	daemons  []*daemon // to use in this order
	answered int
	problems []string
}

// run searches until stop is closed.
func (c *keptCaller) run(stop <-chan struct{}) {
	for n := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(keptPause):
		}
		closed, err := c.search(c.daemons[n%len(c.daemons)])
		if closed || err != nil {
			for n++; !c.daemons[n%len(c.daemons)].Ready(); n++ {
			}
		}
		switch {
		case err == nil:
			c.answered++
		case strings.Contains(err.Error(), "server closed idle connection"):
			// The request crossed the close and was not read.
		default:
			c.problems = append(c.problems, err.Error())
		}
	}
}

// search sends one search and reports whether its connection has closed. Every complete
// answer counts, also a refusal.
func (c *keptCaller) search(entry *daemon) (closed bool, err error) {
	body, err := json.Marshal(map[string]any{"query": "prefix:a", "limit": 20})
	if err != nil {
		return false, err
	}
	url := "http://" + entry.spec.CallerAddress + "/v1/" + team + "/" + searches + "/search"
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.GetBody = nil // net/http must not repeat it by itself
	request.Header.Set("Authorization", "Bearer "+submittingClass().Token())
	response, err := c.client.Do(request)
	if err != nil {
		return true, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Close, err
}

// Guards against requests that planned stops of daemons in series cut, while callers use
// the connections that they hold until the process is gone.
func TestDaemonsStopInSeries(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the commands and runs for 10 s")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := startRun(ctx, t)
	stop := make(chan struct{})
	callers := make([]*keptCaller, keptCallers)
	var running sync.WaitGroup
	for n := range callers {
		first := n % len(r.daemons)
		callers[n] = &keptCaller{daemons: append(r.daemons[first:len(r.daemons):len(r.daemons)], r.daemons[:first]...)}
		callers[n].client = http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
		running.Go(func() { callers[n].run(stop) })
	}
	time.Sleep(time.Second)
	for _, d := range r.daemons[:daemonStops] {
		started := time.Now()
		assert.NilError(t, d.Shutdown(ctx))
		t.Logf("%s has ended after %v", d.spec.ID, time.Since(started).Round(time.Millisecond))
	}
	time.Sleep(time.Second)
	close(stop)
	running.Wait()
	answered := 0
	var problems []string
	for _, c := range callers {
		answered += c.answered
		problems = append(problems, c.problems...)
	}
	t.Logf("%d answers", answered)
	assert.Assert(t, answered > 10*keptCallers, "%d answers", answered)
	assert.Equal(t, len(problems), 0, fmt.Sprint(problems))
}
