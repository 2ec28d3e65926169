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

// callTimeout is how long a caller waits for an answer.
const callTimeout = time.Second

// machine lets callers submit and resend while messages, processes and views
// fail. The oracle is the count of executions in the world.
type machine struct {
	w        *world
	mu       sync.Mutex // guards everything below
	tokens   map[string]string
	names    box[string]
	requests int
	faults   []string        // false answers, found when they arrived
	notRun   map[string]bool // operations that were answered "not run"
	attempts map[string]bool // request ids that were answered "not run by this attempt"
}

func newMachine(scheme func(*process)) *machine {
	return &machine{w: newWorld(scheme), tokens: map[string]string{}, notRun: map[string]bool{}, attempts: map[string]bool{}}
}

// order gets a ticket for a new operation through an instance.
func (m *machine) order(entry int) string {
	m.requests++
	name := fmt.Sprint("op", m.requests)
	p := m.w.processes[entry]
	go func() {
		issued, err := p.router.Ticket(context.Background(), TicketRequest{Key: "k"})
		m.mu.Lock()
		defer m.mu.Unlock()
		if err == nil {
			m.tokens[name] = issued.Token
			m.names.add(name)
		}
	}()
	synctest.Wait()
	return name
}

// send submits an operation through an instance and judges the answer.
func (m *machine) send(entry int, name string) {
	m.requests++
	id := fmt.Sprint("r", m.requests)
	p := m.w.processes[entry]
	request := Request{RequestID: id, Token: m.token(name), Key: "k", Payload: []byte(name)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		answer, err := p.submit(ctx, request)
		if !m.w.is(&p.dead) {
			m.judge(name, id, answer, err)
		}
	}()
	synctest.Wait()
}

func (m *machine) token(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tokens[name]
}

func (m *machine) judge(name, id string, answer Answer, err error) {
	m.w.mu.Lock()
	runs := m.w.runs[name]
	m.w.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		m.notRun[name] = m.notRun[name] || refusal.NotRun()
		m.attempts[id] = refusal.Run == peerpb.RunState_RUN_STATE_NOT_RUN
	case runs != 1 || string(answer.Result) != "done "+name:
		m.faults = append(m.faults, fmt.Sprintf("%s answered %q after %d runs", name, answer.Result, runs))
	}
}

// violation returns the first broken invariant, or "".
func (m *machine) violation() string {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, fault := range m.faults {
		return fault
	}
	for name, runs := range m.w.runs {
		if runs > 1 || m.notRun[name] {
			return fmt.Sprintf("%s ran %d times, answered not run: %v", name, runs, m.notRun[name])
		}
	}
	for id, runs := range m.w.runsBy {
		if runs > 0 && m.attempts[id] {
			return "attempt " + id + " was answered not run and ran"
		}
	}
	return ""
}

// actions returns the steps of the machine. Steps that move a submission on
// appear more often than faults, so that runs get past the first fault.
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

func pick[T any](t *rapid.T, list []T) int {
	if len(list) == 0 {
		t.Skip("nothing to choose")
	}
	return rapid.IntRange(0, len(list)-1).Draw(t, "index")
}

func (m *machine) entry(t *rapid.T) int {
	n := pick(t, m.w.processes)
	if m.w.processes[n].frozen {
		t.Skip("frozen")
	}
	return n
}

func (m *machine) stepOrder(t *rapid.T) { m.order(m.entry(t)) }
func (m *machine) stepSend(t *rapid.T)  { m.send(m.entry(t), m.names.all()[pick(t, m.names.all())]) }

func (m *machine) stepDeliver(t *rapid.T) {
	messages := m.w.messages.all()
	n := pick(t, messages)
	if m.w.process(messages[n].to).frozen {
		t.Skip("frozen")
	}
	m.w.handle(m.w.messages.take(n, rapid.Bool().Draw(t, "duplicate")))
}

func (m *machine) stepLose(t *rapid.T)      { m.w.messages.take(pick(t, m.w.messages.all()), false) }
func (m *machine) stepLoseReply(t *rapid.T) { m.w.replies.take(pick(t, m.w.replies.all()), false) }

func (m *machine) stepReply(t *rapid.T) {
	m.w.answer(m.w.replies.take(pick(t, m.w.replies.all()), rapid.Bool().Draw(t, "duplicate")))
}

// stepBackend decides a call: run or refused, answered, answered with a broken
// reply, or not answered. A late call may run after its sender has given up.
func (m *machine) stepBackend(t *rapid.T) {
	c := m.w.calls.take(pick(t, m.w.calls.all()), false)
	run := rapid.Bool().Draw(t, "run")
	if run {
		m.w.run(c)
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
	p := m.w.processes[pick(t, m.w.processes)]
	m.w.update(func() { p.frozen = !p.frozen })
}

func (m *machine) stepRestart(t *rapid.T) {
	n := pick(t, m.w.processes)
	old := m.w.processes[n]
	m.w.update(func() { old.dead = true })
	m.w.start(n, old.incarnation+1)
}

// stepMembership drops one instance from the platform's list, or none. Views
// lag behind until stepSync.
func (m *machine) stepMembership(t *rapid.T) {
	gone := rapid.SampledFrom([]string{"i0", "i1", "i2", ""}).Draw(t, "gone")
	m.w.members = slices.DeleteFunc([]string{"i0", "i1", "i2"}, func(id string) bool { return id == gone })
}

func (m *machine) stepSync(t *rapid.T) {
	p := m.w.processes[pick(t, m.w.processes)]
	m.w.update(func() { p.view = slices.Clone(m.w.members) })
}

func (m *machine) stepBlock(*rapid.T) {
	m.w.update(func() { m.w.blocked = !m.w.blocked })
}

func (m *machine) stepAdvance(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{10, 300, 1000, 31000}).Draw(t, "ms")) * time.Millisecond)
	synctest.Wait()
}
