package submission

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
)

// cluster is a set of instances and backend servers on a network that delivers a
// message only when the test calls for it. It runs in a synctest bubble, so time
// is virtual.
type cluster struct {
	scheme       func(*process)
	ticketRandom *rand.ChaCha8
	listed       []string // instances in the platform's current list; used by the test's goroutine only
	messages     syncList[*message]
	replies      syncList[*message] // handled messages whose replies wait for delivery
	calls        syncList[*backendCall]

	mu            sync.Mutex // guards everything below and the state of processes
	processes     []*process
	blocked       bool           // no slot is free
	runsByPayload map[string]int // executions by payload
	runsByRequest map[string]int // executions by request id
}

// process is one incarnation of an instance.
type process struct {
	cluster     *cluster
	id          string
	incarnation int
	view        []string // ids of the instances in this process's membership view
	frozen      bool
	dead        bool
	issuer      TicketIssuer
	submit      func(context.Context, Request) (Answer, error)
	router      *Router
}

type message struct {
	from, to string
	request  *peerpb.RedeemRequest
	reply    *peerpb.RedeemReply
	answered chan *peerpb.RedeemReply
}

type backendCall struct {
	call     Call
	from     *process
	answered chan error // the call's error, nil if the submission ran
}

func newCluster(scheme func(*process)) *cluster {
	c := &cluster{scheme: scheme, ticketRandom: rand.NewChaCha8([32]byte{7}), runsByPayload: map[string]int{}, runsByRequest: map[string]int{}}
	for n := range 3 {
		c.listed = append(c.listed, fmt.Sprint("i", n))
		c.processes = append(c.processes, nil)
	}
	for n := range c.processes {
		c.start(n, 1)
	}
	return c
}

func (c *cluster) start(n, incarnation int) {
	p := &process{cluster: c, id: fmt.Sprint("i", n), incarnation: incarnation, view: slices.Clone(c.listed)}
	c.scheme(p)
	c.update(func() { c.processes[n] = p })
}

// update changes the state of the cluster under its lock. The lock is needed even
// for changes that a sleep separates from other accesses, because the race
// detector does not treat a timer as synchronization.
func (c *cluster) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// readFlag reads a flag under the lock.
func (c *cluster) readFlag(flag *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *flag
}

func (p *process) members() []string {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return slices.Clone(p.view)
}

// ticketScheme sets up a process as the production code does, with tickets.
func ticketScheme(p *process) {
	ledger := ticket.NewLedger(p.id, fmt.Sprint(p.incarnation), p.cluster.ticketRandom, time.Now)
	p.issuer = NewIssuer(IssuerConfig{Ledger: ledger, BackendSlots: p, Sender: p.Sender, Now: time.Now})
	p.router = NewRouter(RouterConfig{
		Self: membership.Instance{ID: p.id}, Local: p.issuer, View: p, Control: p, Peers: p, Now: time.Now})
	p.submit = p.router.Submit
}

func (p *process) Owners(serverID string, _ time.Time) []membership.Instance {
	ids := p.members()
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(serverID+a), xxhash.Sum64String(serverID+b))
	})
	var owners []membership.Instance
	for _, id := range ids {
		owners = append(owners, membership.Instance{ID: id})
	}
	return owners
}

func (p *process) Replicas(string, string, int, time.Time) []membership.BackendServer {
	return []membership.BackendServer{{ID: "b0"}, {ID: "b1"}}
}

func (p *process) Instance(id string) (membership.Instance, bool) {
	return membership.Instance{ID: id}, slices.Contains(p.members(), id)
}

func (p *process) RecordCall(string, bool, time.Time)      {}
func (p *process) ObserveSender(*peerpb.Sender)            {}
func (p *process) Sender() *peerpb.Sender                  { return &peerpb.Sender{InstanceId: p.id} }
func (p *process) Peer(to membership.Instance) peerpb.Peer { return &peerClient{from: p, to: to.ID} }

func (p *process) Manifest(string, string) (*snapshot.Manifest, bool) {
	return &snapshot.Manifest{Snapshots: []snapshot.Snapshot{{Version: 1, Partitions: []snapshot.Partition{{}}}}}, true
}

// peerClient sends messages to another process. The tests use only the calls of
// peerpb.Peer that it implements itself.
type peerClient struct {
	peerpb.Peer
	from *process
	to   string
}

func (c *peerClient) IssueTicket(ctx context.Context, request *peerpb.IssueTicketRequest) (*peerpb.IssueTicketReply, error) {
	target := c.from.cluster.process(c.to)
	if target.cluster.readFlag(&target.frozen) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return target.issuer.IssueTicket(ctx, request)
}

func (c *peerClient) Redeem(ctx context.Context, request *peerpb.RedeemRequest) (*peerpb.RedeemReply, error) {
	network := c.from.cluster
	m := &message{from: c.from.id, to: c.to, request: request, answered: make(chan *peerpb.RedeemReply, 1)}
	network.messages.add(m)
	select {
	case reply := <-m.answered:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *cluster) process(id string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[id[1]-'0']
}

// deliver passes a message to its receiver, which handles it in a goroutine of
// its own. A process that dies in the meantime sends no reply.
func (c *cluster) deliver(m *message) {
	p := c.process(m.to)
	go func() {
		reply, _ := p.issuer.Redeem(context.Background(), m.request)
		if !c.readFlag(&p.dead) {
			c.replies.add(&message{to: m.from, reply: reply, answered: m.answered})
		}
	}()
	synctest.Wait()
}

// deliverReply passes a reply to the sender of the message. The reply is dropped
// if the sender has already received one, and a sender that has stopped waiting
// ignores it.
func (c *cluster) deliverReply(m *message) {
	select {
	case m.answered <- m.reply:
	default:
	}
	synctest.Wait()
}

// Acquire grants a slot. While the cluster is blocked, it grants the slot only
// after the deadline, like a process that was paused between checking the
// deadline and sending.
func (p *process) Acquire(ctx context.Context, _ SlotRequest) (Slot, error) {
	if p.cluster.readFlag(&p.cluster.blocked) {
		<-ctx.Done()
		time.Sleep(time.Millisecond)
	}
	return p, nil
}

func (p *process) Release() {}

// Submit waits until the test decides what the backend server does.
func (p *process) Submit(ctx context.Context, call Call, guard SendGuard) ([]byte, error) {
	if p.cluster.readFlag(&p.dead) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !guard.Send() {
		return nil, &AttemptError{Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	}
	c := &backendCall{call: call, from: p, answered: make(chan error, 1)}
	p.cluster.calls.add(c)
	select {
	case err := <-c.answered:
		return []byte("done " + string(call.Payload)), err
	case <-ctx.Done():
		return nil, &AttemptError{Status: peerpb.ResultStatus_DEADLINE}
	}
}

// execute counts an execution of a submission on a backend server.
func (c *cluster) execute(request *backendCall) {
	c.update(func() {
		c.runsByPayload[string(request.call.Payload)]++
		c.runsByRequest[request.call.RequestID]++
	})
}

// syncList is a list to which goroutines add items and from which the test's
// goroutine takes them.
type syncList[T any] struct {
	mu    sync.Mutex
	items []T // guarded by mu
}

func (l *syncList[T]) add(item T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, item)
}

func (l *syncList[T]) all() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.items)
}

// take returns the nth item and removes it from the list unless keep is true.
func (l *syncList[T]) take(n int, keep bool) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	item := l.items[n]
	if !keep {
		l.items = slices.Delete(l.items, n, n+1)
	}
	return item
}
