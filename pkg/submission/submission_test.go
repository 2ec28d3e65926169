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

// Guards against a submission that runs twice, a "not run" answer for a
// submission that ran or runs later, and an answer with another submission's
// result.
func TestSubmissionsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			m := newMachine(ticketScheme)
			defer func() {
				m.runToEnd() // also after a failure, since synctest waits for all goroutines of its bubble
				assert.Equal(t, m.violation(), "")
			}()
			t.Repeat(m.actions())
		})
	})
}

// runToEnd executes every pending call long after its deadline, which is the
// latest possible time, and lets all goroutines end.
func (m *machine) runToEnd() {
	time.Sleep(time.Minute)
	for len(m.cluster.messages.all()) > 0 {
		m.cluster.deliver(m.cluster.messages.take(0, false))
	}
	for len(m.cluster.calls.all()) > 0 {
		m.cluster.execute(m.cluster.calls.take(0, false))
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// resendAfterOwnerRemoved runs an operation, loses its answer, removes the owner
// from the views of all processes, and resends the operation through another
// instance. It returns the number of executions.
func resendAfterOwnerRemoved(t *testing.T, scheme func(*process)) (runs int) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(scheme)
		owner := m.cluster.processes[0].Owners("b0", time.Now())[0].ID
		entry := (int(owner[1]-'0') + 1) % 3
		name := m.requestTicket(entry)
		for resend := range 2 {
			m.submit((entry+resend)%3, name)
			for len(m.cluster.messages.all()) > 0 {
				m.cluster.deliver(m.cluster.messages.take(0, false))
			}
			for len(m.cluster.calls.all()) > 0 {
				c := m.cluster.calls.take(0, false)
				m.cluster.execute(c)
				c.answered <- nil
			}
			synctest.Wait()
			for _, p := range m.cluster.processes {
				m.cluster.update(func() { p.view = slices.DeleteFunc(p.view, func(id string) bool { return id == owner }) })
			}
			time.Sleep(2 * callTimeout)
		}
		m.runToEnd()
		runs = m.cluster.runsByPayload[name]
	})
	return runs
}

// Guards against an oracle that does not detect duplicate executions: in the same
// scenario, rendezvous-hashed owners run the submission twice and tickets run it
// once.
func TestHashOwnersRunTwiceWhereTicketsRunOnce(t *testing.T) {
	assert.Equal(t, resendAfterOwnerRemoved(t, hashOwnerScheme), 2)
	assert.Equal(t, resendAfterOwnerRemoved(t, ticketScheme), 1)
}

// Guards against a refused submission that is not retried on the next replica, and
// against a retry when the outcome of the first attempt is unknown.
func TestNextReplicaOnlyAfterNotRun(t *testing.T) {
	for _, first := range []error{
		&AttemptError{Status: peerpb.ResultStatus_SHED, Run: peerpb.RunState_RUN_STATE_NOT_RUN},
		&AttemptError{Status: peerpb.ResultStatus_INVALID_REPLY},
		errors.New("no reply"),
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newMachine(ticketScheme)
			name := m.requestTicket(0)
			entry, err := strconv.Atoi(issuerOf(t, m.token(name))[1:])
			assert.NilError(t, err)
			m.submit(entry, name)
			m.cluster.calls.take(0, false).answered <- first
			synctest.Wait()
			var failure *AttemptError
			retried := errors.As(first, &failure) && failure.Run == peerpb.RunState_RUN_STATE_NOT_RUN
			assert.Equal(t, len(m.cluster.calls.all()) == 1, retried)
			m.runToEnd()
			assert.Equal(t, m.violation(), "")
		})
	}
}

func issuerOf(t *testing.T, token string) string {
	id, _, err := ticket.ParseIssuer(token)
	assert.NilError(t, err)
	return id
}

// Guards against the answer "not run by this attempt" when a duplicate of the
// attempt's message ran on an earlier incarnation of the issuer.
func TestDuplicateReachesRestartedIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(ticketScheme)
		name := m.requestTicket(0)
		issuer, err := strconv.Atoi(issuerOf(t, m.token(name))[1:])
		assert.NilError(t, err)
		m.submit((issuer+1)%3, name)
		m.cluster.deliver(m.cluster.messages.take(0, true))
		m.cluster.execute(m.cluster.calls.take(0, false))
		m.cluster.update(func() { m.cluster.processes[issuer].dead = true })
		m.cluster.start(issuer, 2)
		m.cluster.deliver(m.cluster.messages.take(0, false))
		m.cluster.deliverReply(m.cluster.replies.take(0, false))
		assert.Equal(t, m.violation(), "")
		m.runToEnd()
	})
}

// Guards against forwarding to an issuer that is not in the view, and against
// stating that earlier attempts with the ticket did not run.
func TestSubmitWithoutIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(ticketScheme)
		issued, err := c.processes[0].router.RequestTicket(context.Background(), TicketRequest{Key: "k"})
		assert.NilError(t, err)
		entry := c.processes[(issued.IssuerID[1]-'0'+1)%3]
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

// Guards against treating a failed dial as a message that may have arrived, and
// against treating a failed read as a message that was not sent.
func TestDialFailed(t *testing.T) {
	assert.Assert(t, DialFailed(errors.Join(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})))
	assert.Assert(t, !DialFailed(&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}))
}
