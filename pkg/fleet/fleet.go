package fleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/oracle"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	readyTimeout  = 15 * time.Second
	readyPoll     = 10 * time.Millisecond
	listLag       = time.Second // of the platform's list behind the instances
	idlePerTarget = 256
)

// Config describes a fleet.
type Config struct {
	Spec      standin.DeploymentSpec
	Seed      uint64
	Instances int // 0 takes the deployment's number
	Options   Options
	Start     Starter
}

// Fleet is a running deployment with its instances. It is safe for concurrent
// use.
type Fleet struct {
	Deployment *standin.Deployment
	Audit      *oracle.Audit

	config Config
	author *bundle.Author
	http   *http.Client
	lb     *balancer
	cancel context.CancelFunc // ends the load balancer

	members []*member // not modified after start

	mu      sync.Mutex
	version int64 // guarded by mu; of the newest bundle

	restarts  sync.Mutex // held during a restart, so that Stop waits for it
	stopped   bool       // guarded by restarts
	restarted int        // guarded by restarts
	failure   error      // guarded by restarts; the first one of a restart
}

// Start starts the platform and the instances and waits until all are ready.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	if config.Instances <= 0 {
		config.Instances = config.Spec.Instances
	}
	author, err := bundle.NewAuthor(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "bundle author")
	}
	deployment, err := standin.StartDeployment(config.Spec, config.Seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Deployment: deployment,
		Audit:      oracle.NewDeploymentAudit(deployment),
		config:     config,
		author:     author,
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerTarget}},
	}
	if err := f.startAll(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.PublishBundle(); err != nil {
		return err
	}
	for i := range f.config.Instances {
		m, err := f.newMember(i)
		if err != nil {
			return err
		}
		f.members = append(f.members, m)
	}
	if err := f.publishInstances(); err != nil {
		return err
	}
	if err := f.startMembers(ctx); err != nil {
		return err
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.startBalancer()
	return nil
}

// startMembers starts the instances together: each asks others for documents,
// and would wait for those that are not yet started.
func (f *Fleet) startMembers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range f.members {
		group.Go(func() error { return m.start(ctx, f.config.Start) })
	}
	return group.Wait()
}

func (f *Fleet) startBalancer() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.lb = &balancer{members: f.members}
	f.lb.look()
	go f.lb.run(ctx)
}

// newMember opens the instance's listeners, so that the platform's list can be published
// before the instances start.
func (f *Fleet) newMember(number int) (*member, error) {
	listeners, err := listen("", "", "")
	if err != nil {
		return nil, err
	}
	zones := f.config.Spec.Zones
	m := &member{spec: InstanceSpec{
		ID:              fmt.Sprintf("%s-i%02d", f.config.Spec.Name, number),
		Zone:            zones[number%len(zones)],
		Region:          f.config.Spec.Region,
		CallerAddress:   listeners.Caller.Addr().String(),
		PeerAddress:     listeners.Peer.Addr().String(),
		OperatorAddress: listeners.Operator.Addr().String(),
		Listeners:       listeners,
		ConfigURL:       "http://" + f.Deployment.Config.Address(),
		Trust:           f.author.Trust(),
		Options:         f.config.Options,
		Instances:       f.config.Instances,
	}}
	m.link, err = f.Deployment.Network.Link(m.listed())
	return m, err
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.members {
		for !m.ready() {
			select {
			case <-ctx.Done():
				return eris.Wrapf(ctx.Err(), "instance %s is not ready", m.spec.ID)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Size returns the number of instances.
func (f *Fleet) Size() int { return f.config.Instances }

// Spec returns the deployment's description.
func (f *Fleet) Spec() standin.DeploymentSpec { return f.config.Spec }

// Stop ends the instances and the platform.
func (f *Fleet) Stop() {
	if f.cancel != nil {
		f.cancel()
	}
	f.Deployment.Network.Heal()
	f.restarts.Lock()
	defer f.restarts.Unlock()
	f.stopped = true
	var group sync.WaitGroup
	for _, m := range f.members {
		group.Go(m.stop)
	}
	group.Wait()
	f.http.CloseIdleConnections()
	f.Deployment.Stop()
}

// Restart replaces one instance gracefully, as a rolling restart does: the
// platform's list shows it as leaving only after a lag. It does nothing once
// the fleet is stopped.
func (f *Fleet) Restart(ctx context.Context, number int) {
	f.restarts.Lock()
	defer f.restarts.Unlock()
	if f.stopped {
		return
	}
	if err := f.replace(ctx, f.members[number]); err != nil && f.failure == nil {
		f.failure = err
	}
	f.restarted++
}

func (f *Fleet) replace(ctx context.Context, m *member) error {
	m.setState(membership.StateLeaving)
	lagging := time.AfterFunc(listLag, func() { _ = f.publishInstances() })
	defer lagging.Stop()
	if err := m.shutdown(ctx); err != nil {
		return eris.Wrapf(err, "shut down instance %s", m.spec.ID)
	}
	m.setState(membership.StateLive)
	if err := m.start(ctx, f.config.Start); err != nil {
		return err
	}
	return f.publishInstances()
}

// Revive starts an instance that was killed or whose restart failed. It does
// nothing when the instance runs.
func (f *Fleet) Revive(ctx context.Context, number int) error {
	f.restarts.Lock()
	defer f.restarts.Unlock()
	m := f.members[number]
	if f.stopped || m.current() != nil {
		return nil
	}
	m.setState(membership.StateLive)
	if err := m.start(ctx, f.config.Start); err != nil {
		return err
	}
	return f.publishInstances()
}

// Restarts returns how often an instance was restarted.
func (f *Fleet) Restarts() int {
	f.restarts.Lock()
	defer f.restarts.Unlock()
	return f.restarted
}

// Failure returns the first error of a restart.
func (f *Fleet) Failure() error {
	f.restarts.Lock()
	defer f.restarts.Unlock()
	return f.failure
}

// InstanceSpec returns what an instance was started with last.
func (f *Fleet) InstanceSpec(number int) InstanceSpec { return f.members[number].currentSpec() }

// Kill stops one instance at once; the platform's list keeps it.
func (f *Fleet) Kill(number int) { f.members[number].kill() }

func (f *Fleet) publishInstances() error {
	instances := make([]membership.Instance, 0, len(f.members))
	for _, m := range f.members {
		listed := m.listed()
		listed.Address = m.link.Address()
		instances = append(instances, listed)
	}
	return f.Deployment.SetInstances(instances)
}

// MainService returns the deployment's first service with several shards, on
// which faults act, or else its first service.
func (f *Fleet) MainService() standin.ServiceSpec {
	for _, service := range f.config.Spec.Services {
		if service.Shards > 1 && !service.Submission {
			return service
		}
	}
	return f.config.Spec.Services[0]
}
