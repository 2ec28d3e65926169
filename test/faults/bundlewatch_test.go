package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

const watchPeriod = 100 * time.Millisecond

// bundleState is what an instance's operator interface shows.
type bundleState struct {
	Incarnation   string `json:"incarnation"`
	BundleVersion int64  `json:"bundle_version"`
	BundleDigest  string `json:"bundle_digest"`
}

// below reports whether b is a lower bundle in the order that decides between
// bundles.
func (b bundleState) below(other bundleState) bool {
	if b.BundleVersion != other.BundleVersion {
		return b.BundleVersion < other.BundleVersion
	}
	return b.BundleDigest < other.BundleDigest
}

// bundleWatch observes the bundle of every instance.
type bundleWatch struct {
	fleet  *fleet.Fleet
	client *http.Client

	mu    sync.Mutex
	last  map[string]bundleState // guarded by mu; by incarnation
	found []string               // guarded by mu
}

func watchBundles(ctx context.Context, f *fleet.Fleet) *bundleWatch {
	w := &bundleWatch{fleet: f, client: &http.Client{Timeout: time.Second}, last: map[string]bundleState{}}
	go func() {
		for ctx.Err() == nil {
			w.look()
			time.Sleep(watchPeriod)
		}
	}()
	return w
}

// look asks the instances that run and compares with what they showed before.
func (w *bundleWatch) look() []bundleState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var states []bundleState
	for number := range w.fleet.Size() {
		state, ok := w.ask(w.fleet.InstanceSpec(number).OperatorAddress)
		if !ok {
			continue
		}
		states = append(states, state)
		if state.below(w.last[state.Incarnation]) {
			w.found = append(w.found, fmt.Sprintf("instance %d went back from %+v to %+v", number, w.last[state.Incarnation], state))
		}
		w.last[state.Incarnation] = state
	}
	return states
}

func (w *bundleWatch) ask(address string) (state bundleState, ok bool) {
	response, err := w.client.Get("http://" + address + "/v1/status")
	if err != nil {
		return state, false
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&state)
	return state, err == nil && state.BundleVersion > 0
}

func (w *bundleWatch) problems() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.found...)
}

// oneBundle reports whether all instances run the same bundle of a version.
func oneBundle(states []bundleState, instances int, version int64) bool {
	digests := map[string]bool{}
	for _, state := range states {
		digests[state.BundleDigest] = state.BundleVersion == version
	}
	return len(states) == instances && len(digests) == 1 && digests[states[0].BundleDigest]
}
