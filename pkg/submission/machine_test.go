package submission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// callTimeout is the deadline of a submission that a caller sends.
const callTimeout = time.Second

// machine is a state machine test in which callers submit and resend operations
// while messages are lost, processes restart and views differ. The oracle is the
// number of executions on the backend servers of the cluster.
type machine struct {
	cluster        *cluster
	mu             sync.Mutex // guards everything below
	tokens         map[string]string
	ticketed       syncList[string]
	idCount        int
	wrongAnswers   []string        // answers that disagreed with the executions when they arrived
	answeredNotRun map[string]bool // operations refused with an unqualified "not run"
	attemptNotRun  map[string]bool // by request id: refused with "not run by this attempt"
}

func newMachine(scheme func(*process)) *machine {
	return &machine{cluster: newCluster(scheme), tokens: map[string]string{}, answeredNotRun: map[string]bool{}, attemptNotRun: map[string]bool{}}
}

// requestTicket requests a ticket for a new operation through an instance and
// returns the name of the operation.
func (m *machine) requestTicket(entry int) string {
	m.idCount++
	name := fmt.Sprint("op", m.idCount)
	p := m.cluster.processes[entry]
	go func() {
		issued, err := p.router.RequestTicket(context.Background(), TicketRequest{Key: "k"})
		m.mu.Lock()
		defer m.mu.Unlock()
		if err == nil {
			m.tokens[name] = issued.Token
			m.ticketed.add(name)
		}
	}()
	synctest.Wait()
	return name
}

// submit submits an operation through an instance and checks the answer.
func (m *machine) submit(entry int, name string) {
	m.idCount++
	id := fmt.Sprint("r", m.idCount)
	p := m.cluster.processes[entry]
	request := Request{RequestID: id, Token: m.token(name), Key: "k", Payload: []byte(name)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		answer, err := p.submit(ctx, request)
		if !m.cluster.readFlag(&p.dead) {
			m.checkAnswer(name, id, answer, err)
		}
	}()
	synctest.Wait()
}

func (m *machine) token(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tokens[name]
}

func (m *machine) checkAnswer(name, id string, answer Answer, err error) {
	m.cluster.mu.Lock()
	runs := m.cluster.runsByPayload[name]
	m.cluster.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		m.answeredNotRun[name] = m.answeredNotRun[name] || refusal.NotRun()
		m.attemptNotRun[id] = refusal.Run == peerpb.RunState_RUN_STATE_NOT_RUN
	case runs != 1 || string(answer.Result) != "done "+name:
		m.wrongAnswers = append(m.wrongAnswers, fmt.Sprintf("%s answered %q after %d runs", name, answer.Result, runs))
	}
}

// violation describes a violated invariant, or returns "" if all of them hold.
func (m *machine) violation() string {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, fault := range m.wrongAnswers {
		return fault
	}
	for name, runs := range m.cluster.runsByPayload {
		if runs > 1 || m.answeredNotRun[name] {
			return fmt.Sprintf("%s ran %d times, answered not run: %v", name, runs, m.answeredNotRun[name])
		}
	}
	for id, runs := range m.cluster.runsByRequest {
		if runs > 0 && m.attemptNotRun[id] {
			return "attempt " + id + " was answered not run and ran"
		}
	}
	return ""
}

// actions returns the steps of the machine. Steps that advance a submission
// appear four times each, since rapid would otherwise draw faults so often that
// few submissions get past the first one.
func (m *machine) actions() map[string]func(*rapid.T) {
	steps := map[string]func(*rapid.T){
		"order": m.stepOrder, "lose": m.stepLose, "lose reply": m.stepLoseReply, "freeze": m.stepFreeze,
		"restart": m.stepRestart, "membership": m.stepMembership, "sync": m.stepSync, "block": m.stepBlock,
		"advance": m.stepAdvance,
		"":        func(t *rapid.T) { assert.Equal(t, m.violation(), "") },
	}
	for n := range 4 {
		steps[fmt.Sprint("send", n)] = m.stepSend
		steps[fmt.Sprint("deliver", n)] = m.stepDeliver
		steps[fmt.Sprint("backend", n)] = m.stepBackend
		steps[fmt.Sprint("reply", n)] = m.stepReply
	}
	return steps
}

func drawIndex[T any](t *rapid.T, list []T) int {
	if len(list) == 0 {
		t.Skip("nothing to choose")
	}
	return rapid.IntRange(0, len(list)-1).Draw(t, "index")
}

func (m *machine) drawEntry(t *rapid.T) int {
	n := drawIndex(t, m.cluster.processes)
	if m.cluster.processes[n].frozen {
		t.Skip("frozen")
	}
	return n
}

func (m *machine) stepOrder(t *rapid.T) { m.requestTicket(m.drawEntry(t)) }
func (m *machine) stepSend(t *rapid.T) {
	m.submit(m.drawEntry(t), m.ticketed.all()[drawIndex(t, m.ticketed.all())])
}

func (m *machine) stepDeliver(t *rapid.T) {
	messages := m.cluster.messages.all()
	n := drawIndex(t, messages)
	if m.cluster.process(messages[n].to).frozen {
		t.Skip("frozen")
	}
	m.cluster.deliver(m.cluster.messages.take(n, rapid.Bool().Draw(t, "duplicate")))
}

func (m *machine) stepLose(t *rapid.T) {
	m.cluster.messages.take(drawIndex(t, m.cluster.messages.all()), false)
}
func (m *machine) stepLoseReply(t *rapid.T) {
	m.cluster.replies.take(drawIndex(t, m.cluster.replies.all()), false)
}

func (m *machine) stepReply(t *rapid.T) {
	m.cluster.deliverReply(m.cluster.replies.take(drawIndex(t, m.cluster.replies.all()), rapid.Bool().Draw(t, "duplicate")))
}

// stepBackend decides whether a backend server runs a call, and whether its reply
// arrives whole, broken or not at all. A call may run after its sender has given
// up.
func (m *machine) stepBackend(t *rapid.T) {
	c := m.cluster.calls.take(drawIndex(t, m.cluster.calls.all()), false)
	run := rapid.Bool().Draw(t, "run")
	if run {
		m.cluster.execute(c)
	}
	reply := rapid.SampledFrom([]string{"whole", "whole", "broken", "lost"}).Draw(t, "reply")
	switch {
	case reply == "lost" || c.from.frozen:
		return
	case reply == "broken":
		c.answered <- &AttemptError{Status: peerpb.ResultStatus_INVALID_REPLY}
	case run:
		c.answered <- nil
	default:
		c.answered <- &AttemptError{Status: peerpb.ResultStatus_SHED, Run: peerpb.RunState_RUN_STATE_NOT_RUN}
	}
	synctest.Wait()
}

func (m *machine) stepFreeze(t *rapid.T) {
	p := m.cluster.processes[drawIndex(t, m.cluster.processes)]
	m.cluster.update(func() { p.frozen = !p.frozen })
}

func (m *machine) stepRestart(t *rapid.T) {
	n := drawIndex(t, m.cluster.processes)
	old := m.cluster.processes[n]
	m.cluster.update(func() { old.dead = true })
	m.cluster.start(n, old.incarnation+1)
}

// stepMembership changes the platform's list of instances: it lacks one of them,
// or none. The views of the processes do not follow until stepSync.
func (m *machine) stepMembership(t *rapid.T) {
	removed := rapid.SampledFrom([]string{"i0", "i1", "i2", ""}).Draw(t, "removed")
	m.cluster.listed = slices.DeleteFunc([]string{"i0", "i1", "i2"}, func(id string) bool { return id == removed })
}

func (m *machine) stepSync(t *rapid.T) {
	p := m.cluster.processes[drawIndex(t, m.cluster.processes)]
	m.cluster.update(func() { p.view = slices.Clone(m.cluster.listed) })
}

func (m *machine) stepBlock(*rapid.T) {
	m.cluster.update(func() { m.cluster.blocked = !m.cluster.blocked })
}

func (m *machine) stepAdvance(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{10, 300, 1000, 31000}).Draw(t, "ms")) * time.Millisecond)
	synctest.Wait()
}
