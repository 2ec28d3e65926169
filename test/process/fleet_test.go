package process

import (
	"context"
	"fmt"
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
	// submissionEvery spreads submissions over a phase.
	submissionEvery = 4
	// crashGap spreads three crashes and restarts over a phase.
	crashGap = 150 * time.Millisecond
	// bundleEffect is the time in which a bundle takes effect on every instance.
	bundleEffect = 3 * time.Second
)

// run is one fleet under test.
type run struct {
	t        *testing.T
	ctx      context.Context
	platform *platform
	fleet    *fleet.Fleet
	workload *fleet.Workload
	daemons  []*daemon // by id
	// submitted counts the submissions beyond the workload's own.
	submitted int
}

// Guards against every broken invariant when processes are killed, paused and
// stopped and the configuration service is down: answers are compared with the
// oracle, submissions with the executions on the backend servers.
func TestProcessesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the commands and runs for 20 s")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, noteSources())
	r := startRun(ctx, t)
	r.phase("no fault", func() {})
	r.stopGracefully()
	r.phase("configuration service down", func() { r.platform.admin(http.MethodPost, "/faults/down", nil) })
	r.restartFromPeers(2)
	r.phase("configuration service back", func() { r.platform.admin(http.MethodPost, "/faults/up", nil) })
	r.phase("backend server killed", func() { r.platform.servers["renewal-search-s00-r0"].kill() })
	r.phase("submission servers crash", r.crashSubmissionServers)
	r.submissionWithPausedIssuer()
	r.phase("instance paused", func() { r.daemons[0].child.signal(syscall.SIGSTOP) })
	r.bundleWhilePaused(r.daemons[0])
	r.phase("instance resumed", func() {})
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
// keep most of them from an answer. It returns all replies.
func (r *run) phase(name string, fault func()) []fleet.Reply {
	started := time.Now()
	fault()
	replies := make([]fleet.Reply, phaseRequests)
	var group sync.WaitGroup
	for n := range replies {
		request := r.request(n)
		group.Go(func() { replies[n] = r.fleet.Do(r.ctx, request) })
		time.Sleep(requestGap)
	}
	group.Wait()
	outcomes := map[string]int{}
	answered := 0
	for _, reply := range replies {
		outcomes[string(reply.Outcome)+" "+reply.Reason]++
		if reply.Outcome == fleet.Complete || reply.Outcome == fleet.Partial {
			answered++
		}
	}
	r.t.Logf("%s: %v in %v", name, outcomes, time.Since(started).Round(time.Millisecond))
	assert.Assert(r.t, answered > phaseRequests/2, "%s: %v", name, outcomes)
	assert.Equal(r.t, r.fleet.Audit.Total(), 0, "%s: %v", name, r.fleet.Audit.Problems())
	return replies
}

// request returns the next request of a phase. Every submissionEvery-th one is a
// submission, far more than in the callers' own mix.
func (r *run) request(n int) fleet.Request {
	request := r.workload.Next()
	if n%submissionEvery != 0 || request.Submission() {
		return request
	}
	r.submitted++
	payload := fmt.Sprint("extra submission ", r.submitted)
	return fleet.Request{Class: submittingClass(), Service: submissions, Key: "aa-000001", Payload: payload, Draw: request.Draw}
}

// crashSubmissionServers crashes each backend server for submissions in turn,
// with the submissions that it runs.
func (r *run) crashSubmissionServers() {
	for n, server := range r.fleet.Deployment.ServersOf(submissions) {
		time.AfterFunc(time.Duration(n+1)*crashGap, func() { server.Crash(crashGap) })
	}
}

// stopGracefully lets an instance leave while requests arrive. Requests that
// still reach it during the load balancer's delay are answered, no request needs
// a second instance, a ticket that only the leaving instance can redeem is
// redeemed, and the process ends by itself and without an error.
func (r *run) stopGracefully() {
	const key, payload = "aa-000001", "leaving issuer"
	c := newCaller(r.t)
	issued := c.ticket(r.daemons[0], key)
	leaving, others := r.split(issued.Issuer)
	r.daemons = others
	left := make(chan error, 1)
	go func() { left <- leaving.Shutdown(r.ctx) }()
	for leaving.Ready() {
		assert.NilError(r.t, r.ctx.Err())
	}
	started := time.Now()
	for time.Since(started) < loadBalancerDelay/2 {
		assert.Equal(r.t, c.search(leaving).Status, http.StatusOK)
	}
	for _, reply := range r.phase("instance stops gracefully", func() {}) {
		assert.Equal(r.t, reply.Tries, 1, "%+v", reply)
		assert.Assert(r.t, reply.Outcome != fleet.Failed, "%+v", reply)
	}
	time.Sleep(time.Until(started.Add(loadBalancerDelay * 3 / 2)))
	assert.Equal(r.t, c.submit(others[0], issued.Ticket, key, payload).Run, "run")
	assert.NilError(r.t, <-left)
}

// restartFromPeers replaces a killed instance while the configuration service
// is down: the new process must learn all documents from other instances.
func (r *run) restartFromPeers(n int) {
	killed := r.daemons[n]
	killed.Kill()
	spec := killed.spec
	seeds := []string{r.daemons[0].spec.PeerAddress, r.daemons[1].spec.PeerAddress}
	started, err := startDaemon(r.t, spec, seeds...)
	assert.NilError(r.t, err)
	r.daemons[n] = started
	for !started.Ready() {
		assert.NilError(r.t, r.ctx.Err(), "not ready: %s", started.child.log.tail())
		time.Sleep(requestGap)
	}
	assert.Equal(r.t, newCaller(r.t).search(started).BundleVersion, r.fleet.BundleVersion())
	r.phase("instance restarted without configuration service", func() {})
}

// submissionWithPausedIssuer resends one submission through other instances
// while its issuer is paused, resumed and killed. It must run exactly once.
func (r *run) submissionWithPausedIssuer() {
	const key, payload = "aa-000001", "paused issuer"
	s := newCaller(r.t)
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

// bundleWhilePaused publishes a bundle while an instance is paused. Once the
// bundle must be in effect everywhere, each instance decides under it, the
// resumed one from its first answer on.
func (r *run) bundleWhilePaused(paused *daemon) {
	assert.NilError(r.t, r.fleet.PublishBundle())
	r.platform.copyDocument(standin.KeyBundle)
	time.Sleep(bundleEffect)
	paused.child.signal(syscall.SIGCONT)
	c := newCaller(r.t)
	for _, entry := range append([]*daemon{paused}, r.daemons...) {
		answer := c.search(entry)
		assert.Equal(r.t, answer.Status, http.StatusOK, entry.spec.ID)
		assert.Equal(r.t, answer.BundleVersion, r.fleet.BundleVersion(), entry.spec.ID)
	}
}

// split returns the daemon of an id and the others.
func (r *run) split(id string) (*daemon, []*daemon) {
	n := slices.IndexFunc(r.daemons, func(d *daemon) bool { return d.spec.ID == id })
	others := slices.Delete(slices.Clone(r.daemons), n, n+1)
	return r.daemons[n], others
}
