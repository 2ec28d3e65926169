package process

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	testTimeout   = 40 * time.Second
	phaseRequests = 40
	requestGap    = 20 * time.Millisecond
)

// run is one fleet under test.
type run struct {
	t        *testing.T
	ctx      context.Context
	platform *platform
	fleet    *fleet.Fleet
	workload *fleet.Workload
	daemons  []*daemon // by id
}

// Guards against every broken invariant when processes are killed, paused and
// stopped and the configuration service is down: answers are compared with the
// oracle, submissions with the executions on the backend servers.
func TestProcessesUnderFaults(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := startRun(ctx, t)
	r.phase("no fault", func() {})
	var left <-chan error
	r.phase("instance stopped gracefully", func() { left = r.stopGracefully(1) })
	assert.NilError(t, <-left)
	r.phase("configuration service down", func() { r.platform.admin(http.MethodPost, "/faults/down", nil) })
	r.phase("configuration service back", func() { r.platform.admin(http.MethodPost, "/faults/up", nil) })
	r.phase("backend server killed", func() { r.platform.servers["renewal-search-s00-r0"].kill() })
	r.submissionWithPausedIssuer()
	r.phase("instance paused", func() { r.daemons[0].child.signal(syscall.SIGSTOP) })
	r.phase("instance resumed", func() { r.daemons[0].child.signal(syscall.SIGCONT) })
	r.phase("instance killed", func() { r.daemons[1].Kill() })
	r.fleet.Audit.Finish()
	assert.Equal(t, r.fleet.Audit.Total(), 0, "%v", r.fleet.Audit.Problems())
}

func startRun(ctx context.Context, t *testing.T) *run {
	spec, err := standin.Office().Only(searches, submissions)
	assert.NilError(t, err)
	p := newPlatform(t)
	f, err := fleet.Start(ctx, fleet.Config{Spec: spec, Seed: seed, Instances: instances, Start: p.start})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	r := &run{t: t, ctx: ctx, platform: p, fleet: f, workload: fleet.NewWorkload(spec, seed, "process")}
	for _, id := range slices.Sorted(maps.Keys(p.daemons)) {
		r.daemons = append(r.daemons, p.daemons[id])
	}
	return r
}

// phase applies a fault, sends requests and requires that the fault does not
// keep most of them from an answer.
func (r *run) phase(name string, fault func()) {
	started := time.Now()
	fault()
	var mu sync.Mutex
	outcomes := map[string]int{}
	answered := 0
	var group sync.WaitGroup
	for range phaseRequests {
		request := r.workload.Next()
		group.Go(func() {
			reply := r.fleet.Do(r.ctx, request)
			mu.Lock()
			defer mu.Unlock()
			outcomes[string(reply.Outcome)+" "+reply.Reason]++
			if reply.Outcome == fleet.Complete || reply.Outcome == fleet.Partial {
				answered++
			}
		})
		time.Sleep(requestGap)
	}
	group.Wait()
	r.t.Logf("%s: %v in %v", name, outcomes, time.Since(started).Round(time.Millisecond))
	assert.Assert(r.t, answered > phaseRequests/2, "%s: %v", name, outcomes)
	assert.Equal(r.t, r.fleet.Audit.Total(), 0, "%s: %v", name, r.fleet.Audit.Problems())
}

// stopGracefully lets an instance leave while requests arrive; its process must
// end by itself and without an error.
func (r *run) stopGracefully(n int) <-chan error {
	left := make(chan error, 1)
	leaving := r.daemons[n]
	r.daemons = slices.Delete(r.daemons, n, n+1)
	go func() { left <- leaving.Shutdown(r.ctx) }()
	return left
}

// submissionWithPausedIssuer resends one submission through other instances
// while its issuer is paused, resumed and killed. It must run exactly once.
func (r *run) submissionWithPausedIssuer() {
	const key, payload = "aa-000001", "paused issuer"
	s := newSubmitter(r.t)
	issued := s.ticket(r.daemons[0], key)
	issuer, others := r.split(issued.Issuer)
	issuer.child.signal(syscall.SIGSTOP)
	first := s.submit(others[0], issued.Ticket, key, payload)
	assert.Equal(r.t, first.Run, "unknown")
	issuer.child.signal(syscall.SIGCONT)
	again := s.submit(others[1], issued.Ticket, key, payload)
	assert.Equal(r.t, again.Run, "run")
	assert.Equal(r.t, again.Result, standin.SubmissionResult(key, payload))
	stored := s.submit(others[0], issued.Ticket, key, payload)
	assert.Assert(r.t, stored.Replayed)
	assert.Equal(r.t, stored.Result, again.Result)
	assert.Equal(r.t, s.submit(others[0], issued.Ticket, key, "another body").Status, http.StatusConflict)
	assert.Equal(r.t, r.fleet.Deployment.Runs.Payloads(submissions, payload), 1)
}

// split returns the daemon of an id and the others.
func (r *run) split(id string) (*daemon, []*daemon) {
	n := slices.IndexFunc(r.daemons, func(d *daemon) bool { return d.spec.ID == id })
	others := slices.Delete(slices.Clone(r.daemons), n, n+1)
	return r.daemons[n], others
}
