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

// world is a fleet of instances with a network whose messages move only when
// the test says so. It runs in a synctest bubble, so time is virtual.
type world struct {
	scheme   func(*process)
	random   *rand.ChaCha8
	members  []string // what the platform's list says now; used by the driver alone
	messages box[*message]
	replies  box[*message] // handled; reply is set
	calls    box[*backendCall]

	mu        sync.Mutex // guards everything below and the state of processes
	processes []*process
	blocked   bool           // no slot is free
	runs      map[string]int // executions by payload
	runsBy    map[string]int // executions by request id
}

// process is one incarnation of an instance.
type process struct {
	w           *world
	id          string
	incarnation int
	view        []string // instances that this process believes to be live
	frozen      bool
	dead        bool
	issuer      Tickets
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
	answered chan error // nil when the submission ran
}

func newWorld(scheme func(*process)) *world {
	w := &world{scheme: scheme, random: rand.NewChaCha8([32]byte{7}), runs: map[string]int{}, runsBy: map[string]int{}}
	for n := range 3 {
		w.members = append(w.members, fmt.Sprint("i", n))
		w.processes = append(w.processes, nil)
	}
	for n := range w.processes {
		w.start(n, 1)
	}
	return w
}

func (w *world) start(n, incarnation int) {
	p := &process{w: w, id: fmt.Sprint("i", n), incarnation: incarnation, view: slices.Clone(w.members)}
	w.scheme(p)
	w.update(func() { w.processes[n] = p })
}

// update changes the world under its lock. A timer that fires later orders
// nothing for the race detector.
func (w *world) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// is reads a flag under the lock.
func (w *world) is(flag *bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *flag
}

func (p *process) members() []string {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return slices.Clone(p.view)
}

// tickets is the scheme of the product.
func tickets(p *process) {
	ledger := ticket.NewLedger(p.id, fmt.Sprint(p.incarnation), p.w.random, time.Now)
	p.issuer = NewIssuer(IssuerConfig{Ledger: ledger, Replicas: p, Sender: p.Sender, Now: time.Now})
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
func (p *process) Peer(to membership.Instance) peerpb.Peer { return &link{from: p, to: to.ID} }

func (p *process) Manifest(string, string) (*snapshot.Manifest, bool) {
	return &snapshot.Manifest{Snapshots: []snapshot.Snapshot{{Version: 1, Partitions: []snapshot.Partition{{}}}}}, true
}

// link carries messages; the calls that it does not override stay unused.
type link struct {
	peerpb.Peer
	from *process
	to   string
}

func (l *link) IssueTicket(ctx context.Context, request *peerpb.IssueTicketRequest) (*peerpb.IssueTicketReply, error) {
	target := l.from.w.process(l.to)
	if target.w.is(&target.frozen) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return target.issuer.IssueTicket(ctx, request)
}

func (l *link) Redeem(ctx context.Context, request *peerpb.RedeemRequest) (*peerpb.RedeemReply, error) {
	w := l.from.w
	m := &message{from: l.from.id, to: l.to, request: request, answered: make(chan *peerpb.RedeemReply, 1)}
	w.messages.add(m)
	select {
	case reply := <-m.answered:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *world) process(id string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[id[1]-'0']
}

// handle lets the receiver of a message work on it. A process that dies in the
// meantime sends no reply.
func (w *world) handle(m *message) {
	p := w.process(m.to)
	go func() {
		reply, _ := p.issuer.Redeem(context.Background(), m.request)
		if !w.is(&p.dead) {
			w.replies.add(&message{to: m.from, reply: reply, answered: m.answered})
		}
	}()
	synctest.Wait()
}

// answer hands a reply to the waiting sender; one that has left ignores it.
func (w *world) answer(m *message) {
	select {
	case m.answered <- m.reply:
	default:
	}
	synctest.Wait()
}

// Acquire grants a slot. While none is free it grants one after the deadline,
// as a process does that resumes after a pause between its check and its send.
func (p *process) Acquire(ctx context.Context, _ Attempt) (Slot, error) {
	if p.w.is(&p.w.blocked) {
		<-ctx.Done()
		time.Sleep(time.Millisecond)
	}
	return p, nil
}

func (p *process) Release() {}

// Submit waits for the driver to decide what the backend server does.
func (p *process) Submit(ctx context.Context, call Call, guard SendGuard) ([]byte, error) {
	if p.w.is(&p.dead) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !guard.Send() {
		return nil, &AttemptError{Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	}
	c := &backendCall{call: call, from: p, answered: make(chan error, 1)}
	p.w.calls.add(c)
	select {
	case err := <-c.answered:
		return []byte("done " + string(call.Payload)), err
	case <-ctx.Done():
		return nil, &AttemptError{Status: peerpb.ResultStatus_DEADLINE}
	}
}

// run executes a submission on a backend server.
func (w *world) run(c *backendCall) {
	w.update(func() {
		w.runs[string(c.call.Payload)]++
		w.runsBy[c.call.RequestID]++
	})
}

// box is a list that goroutines extend and the driver takes from.
type box[T any] struct {
	mu    sync.Mutex
	items []T // guarded by mu
}

func (b *box[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, item)
}

func (b *box[T]) all() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.items)
}

// take removes and returns the nth element, or leaves it to be used again.
func (b *box[T]) take(n int, keep bool) T {
	b.mu.Lock()
	defer b.mu.Unlock()
	item := b.items[n]
	if !keep {
		b.items = slices.Delete(b.items, n, n+1)
	}
	return item
}
