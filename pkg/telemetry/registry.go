package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// rootName is the expvar name under which all registries of a process appear,
// each under its instance id.
const rootName = "sycamorelift"

// root returns the map that holds all registries of the process. It publishes the map
// only once, since expvar panics when a name is published again.
var root = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(rootName) })

// rootMu makes the check and the deletion in Close atomic. Otherwise Close could delete
// a registry that NewRegistry has just published under the same id.
var rootMu sync.Mutex

// Registry holds the metrics of one instance.
type Registry struct {
	instanceID string
	vars       *expvar.Map

	mu         sync.Mutex // guards the creation of metrics
	counters   map[string]*expvar.Int
	histograms map[string]*Histogram
}

// NewRegistry publishes an empty registry under the instance's id. It replaces a
// registry that an earlier incarnation of the instance in this process has published.
func NewRegistry(instanceID string) *Registry {
	r := &Registry{
		instanceID: instanceID,
		vars:       new(expvar.Map).Init(),
		counters:   map[string]*expvar.Int{},
		histograms: map[string]*Histogram{},
	}
	rootMu.Lock()
	defer rootMu.Unlock()
	root().Set(instanceID, r.vars)
	return r
}

// Close removes the registry from the published metrics. The metrics remain
// usable.
func (r *Registry) Close() {
	rootMu.Lock()
	defer rootMu.Unlock()
	if root().Get(r.instanceID) == expvar.Var(r.vars) {
		root().Delete(r.instanceID)
	}
}

// Counter returns the counter called name and creates it at the first use. Set makes it
// usable as a gauge.
func (r *Registry) Counter(name string) *expvar.Int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counter, ok := r.counters[name]
	if !ok {
		counter = new(expvar.Int)
		r.counters[name] = counter
		r.vars.Set(name, counter)
	}
	return counter
}

// Histogram returns the latency histogram called name and creates it at the first use.
func (r *Registry) Histogram(name string) *Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram, ok := r.histograms[name]
	if !ok {
		histogram = NewHistogram()
		r.histograms[name] = histogram
		r.vars.Set(name, histogram)
	}
	return histogram
}

// Func publishes under name the value that f returns whenever the metrics are read. The
// value must be encodable as JSON, and f must be safe for concurrent use.
func (r *Registry) Func(name string, f func() any) {
	r.vars.Set(name, expvar.Func(f))
}

// String returns the metrics as a JSON object.
func (r *Registry) String() string {
	return r.vars.String()
}

// Handler returns a handler that serves the metrics of this instance only, together
// with the memory statistics of the process, in the format of /debug/vars.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\n%q: {%q: %s},\n%q: %s\n}\n",
			rootName, r.instanceID, r.vars, "memstats", expvar.Get("memstats"))
	})
}
