package submission

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/ticket"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 300, Steps: 100}) }

// Guards against a submission that runs twice, a "not run" that is false then
// or later, and an answer that belongs to another submission.
func TestSubmissionsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			m := newMachine(tickets)
			defer func() {
				m.drain() // also after a failure, since the bubble waits for all goroutines
				assert.Equal(t, m.violation(), "")
			}()
			t.Repeat(m.actions())
		})
	})
}

// drain runs every call that is still on its way, as late as possible, and lets
// all goroutines end.
func (m *machine) drain() {
	time.Sleep(time.Minute)
	for len(m.w.messages.all()) > 0 {
		m.w.handle(m.w.messages.take(0, false))
	}
	for len(m.w.calls.all()) > 0 {
		m.w.run(m.w.calls.take(0, false))
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// resendAfterChange loses the answer of an operation that ran, removes the
// instance that ran it from the list, and resends through another instance. It
// returns the number of executions.
func resendAfterChange(t *testing.T, scheme func(*process)) (runs int) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(scheme)
		owner := m.w.processes[0].Owners("b0", time.Now())[0].ID
		entry := (int(owner[1]-'0') + 1) % 3
		name := m.order(entry)
		for try := range 2 {
			m.send((entry+try)%3, name)
			for len(m.w.messages.all()) > 0 {
				m.w.handle(m.w.messages.take(0, false))
			}
			for len(m.w.calls.all()) > 0 {
				c := m.w.calls.take(0, false)
				m.w.run(c)
				c.answered <- nil
			}
			synctest.Wait()
			for _, p := range m.w.processes {
				m.w.update(func() { p.view = slices.DeleteFunc(p.view, func(id string) bool { return id == owner }) })
			}
			time.Sleep(2 * callTimeout)
		}
		m.drain()
		runs = m.w.runs[name]
	})
	return runs
}

// Guards against an oracle that cannot see duplicates: the baseline runs the
// submission twice where tickets run it once.
func TestHashOwnersRunTwiceWhereTicketsRunOnce(t *testing.T) {
	assert.Equal(t, resendAfterChange(t, hashOwners), 2)
	assert.Equal(t, resendAfterChange(t, tickets), 1)
}

// Guards against a refused submission that is not offered to the next replica,
// and against one that is offered after an outcome that is not known.
func TestNextReplicaOnlyAfterNotRun(t *testing.T) {
	for _, first := range []error{
		&AttemptError{Status: peerpb.ResultStatus_SHED, Run: peerpb.RunState_RUN_STATE_NOT_RUN},
		&AttemptError{Status: peerpb.ResultStatus_INVALID_REPLY},
		errors.New("no reply"),
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newMachine(tickets)
			name := m.order(0)
			entry, err := strconv.Atoi(issuerOf(t, m.token(name))[1:])
			assert.NilError(t, err)
			m.send(entry, name)
			m.w.calls.take(0, false).answered <- first
			synctest.Wait()
			var failure *AttemptError
			retried := errors.As(first, &failure) && failure.Run == peerpb.RunState_RUN_STATE_NOT_RUN
			assert.Equal(t, len(m.w.calls.all()) == 1, retried)
			m.drain()
			assert.Equal(t, m.violation(), "")
		})
	}
}

func issuerOf(t *testing.T, token string) string {
	id, _, err := ticket.Issuer(token)
	assert.NilError(t, err)
	return id
}

// Guards against "not run by this attempt" when a duplicate of the attempt's
// message ran in the issuer's earlier incarnation.
func TestDuplicateReachesRestartedIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(tickets)
		name := m.order(0)
		issuer, err := strconv.Atoi(issuerOf(t, m.token(name))[1:])
		assert.NilError(t, err)
		m.send((issuer+1)%3, name)
		m.w.handle(m.w.messages.take(0, true))
		m.w.run(m.w.calls.take(0, false))
		m.w.update(func() { m.w.processes[issuer].dead = true })
		m.w.start(issuer, 2)
		m.w.handle(m.w.messages.take(0, false))
		m.w.answer(m.w.replies.take(0, false))
		assert.Equal(t, m.violation(), "")
		m.drain()
	})
}

// Guards against a forward to an address outside the view and against a claim
// that earlier attempts did not run.
func TestSubmitWithoutIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(tickets)
		issued, err := w.processes[0].router.Ticket(context.Background(), TicketRequest{Key: "k"})
		assert.NilError(t, err)
		entry := w.processes[(issued.Issuer[1]-'0'+1)%3]
		entry.view = []string{entry.id}
		var refusal *Refusal
		_, err = entry.submit(context.Background(), Request{Token: issued.Token, Key: "k"})
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Reason, ReasonIssuerUnknown)
		assert.Assert(t, !refusal.NotRun())
		_, err = entry.submit(context.Background(), Request{Token: "x"})
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Ticket, ticket.KindMalformed)
	})
}

// Guards against a failed dial that is taken for a message that may have
// arrived, and the reverse.
func TestDialFailed(t *testing.T) {
	assert.Assert(t, DialFailed(errors.Join(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})))
	assert.Assert(t, !DialFailed(&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}))
}
