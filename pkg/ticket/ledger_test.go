package ticket

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 100}) }

const maxRecords = 4

// issuedTicket is what the oracle records of one ticket. Only tickets of the
// current incarnation can be redeemed.
type issuedTicket struct {
	token, key  string
	incarnation int
	issuedAt    time.Time
	body        string // of the first redemption; "" before it
	completed   time.Time
	result      string // "" until the submission has completed
	redemption  *Redemption
}

// ledgerMachine is a state machine that issues and redeems tickets, advances the
// time and restarts the ledger. It compares every result with the list of issued
// tickets.
type ledgerMachine struct {
	now         time.Time
	random      *rand.ChaCha8
	incarnation int
	ledger      *Ledger
	tickets     []*issuedTicket
}

func newLedgerMachine() *ledgerMachine {
	m := &ledgerMachine{now: time.Unix(0, 0), random: rand.NewChaCha8([32]byte{1})}
	m.Restart(nil)
	return m
}

func (m *ledgerMachine) Restart(*rapid.T) {
	m.incarnation++
	m.ledger = NewLedgerWithLimits("a", fmt.Sprint(m.incarnation), m.random,
		func() time.Time { return m.now }, Limits{Records: maxRecords, ResultBytes: 1 << 20})
}

func (m *ledgerMachine) expectedRecords() (records, live, running int) {
	for _, issued := range m.tickets {
		switch {
		case issued.incarnation != m.incarnation:
		case issued.body == "" && m.now.Before(issued.issuedAt.Add(RedeemWindow)):
			records, live = records+1, live+1
		case issued.body != "" && issued.result == "":
			records, running = records+1, running+1
		case issued.result != "" && m.now.Before(issued.completed.Add(OutcomeRetention)):
			records++
		}
	}
	return records, live, running
}

func (m *ledgerMachine) Issue(t *rapid.T) {
	records, _, _ := m.expectedRecords()
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	token, _, err := m.ledger.Issue("team", "service", key)
	if records == maxRecords {
		assert.Equal(t, err.(*Error).Kind, KindFull)
		return
	}
	assert.NilError(t, err)
	m.tickets = append(m.tickets, &issuedTicket{token: token, key: key, incarnation: m.incarnation, issuedAt: m.now})
}

func (m *ledgerMachine) drawTicket(t *rapid.T) *issuedTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	return m.tickets[rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")]
}

func (m *ledgerMachine) Redeem(t *rapid.T) {
	issued := m.drawTicket(t)
	body := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body")
	key := rapid.SampledFrom([]string{issued.key, issued.key, "k3"}).Draw(t, "key")
	redemption, err := m.ledger.Redeem(issued.token, "team", "service", key, []byte(body))
	if want := m.expectedRefusal(issued, key, body); want != nil {
		assert.DeepEqual(t, err, want)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, redemption.First, issued.body == "")
	if redemption.First {
		issued.body, issued.redemption = body, redemption
	}
	done, cancel := context.WithCancel(context.Background())
	cancel()
	if result, err := redemption.Wait(done); issued.result != "" && err == nil {
		assert.Equal(t, string(result.Payload), issued.result)
	}
}

func (m *ledgerMachine) expectedRefusal(issued *issuedTicket, key, body string) error {
	switch {
	case issued.incarnation != m.incarnation:
		return &Error{Kind: KindIssuerGone, EarlierUnknown: true}
	case key != issued.key:
		return &Error{Kind: KindConflict, EarlierUnknown: true}
	case issued.body == "" && !m.now.Before(issued.issuedAt.Add(RedeemWindow)),
		issued.result != "" && !m.now.Before(issued.completed.Add(OutcomeRetention)):
		// EarlierUnknown must be true whenever the ticket may have run.
		return &Error{Kind: KindExpired, EarlierUnknown: m.now.Sub(issued.issuedAt) >= OutcomeRetention}
	case issued.body != "" && issued.body != body:
		return &Error{Kind: KindConflict, EarlierUnknown: true}
	default:
		return nil
	}
}

func (m *ledgerMachine) Complete(t *rapid.T) {
	issued := m.drawTicket(t)
	if issued.body == "" || issued.incarnation != m.incarnation {
		t.Skip("not running")
	}
	issued.redemption.Complete(Result{Payload: []byte("result")})
	if issued.result == "" {
		issued.result, issued.completed = "result", m.now
	}
}

func (m *ledgerMachine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 29, 30, 300, 599, 600}).Draw(t, "s")) * time.Second)
}

func (m *ledgerMachine) Tamper(t *rapid.T) {
	issued := m.drawTicket(t)
	token := []byte(issued.token)
	at := rapid.IntRange(0, len(token)-1).Draw(t, "at")
	if token[at]++; token[at] > 'z' {
		token[at] = 'A'
	}
	_, err := m.ledger.Redeem(string(token), "team", "service", issued.key, []byte("x"))
	var refusal *Error
	assert.Assert(t, errors.As(err, &refusal) && refusal.EarlierUnknown, "%v", err)
}

func (m *ledgerMachine) Check(t *rapid.T) {
	records, live, running := m.expectedRecords()
	assert.Equal(t, m.ledger.Records(), records)
	assert.Equal(t, m.ledger.LiveTickets(), live)
	assert.Equal(t, m.ledger.RunningSubmissions(), running)
}

// Guards against a second run of a ticket, an outcome that is lost or belongs to
// another ticket, a wrong claim that nothing has run, and more records than the
// limit allows.
func TestLedgerFollowsOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newLedgerMachine())) })
}

// Guards against two concurrent redemptions that both run the submission.
func TestConcurrentRedemptionsRunOnce(t *testing.T) {
	l := NewLedger("a", "1", rand.NewChaCha8([32]byte{2}), time.Now)
	for range 200 {
		token, _, err := l.Issue("team", "service", "k")
		assert.NilError(t, err)
		var runs atomic.Int64
		var done sync.WaitGroup
		for range 8 {
			done.Go(func() {
				r, err := l.Redeem(token, "team", "service", "k", []byte("x"))
				if err == nil && r.First {
					runs.Add(1)
					r.Complete(Result{Run: peerpb.RunState_RUN_STATE_RUN})
				}
				result, err := r.Wait(context.Background())
				if err != nil || result.Run != peerpb.RunState_RUN_STATE_RUN {
					t.Error(result, err)
				}
			})
		}
		done.Wait()
		assert.Equal(t, runs.Load(), int64(1))
	}
}

// Guards against payloads that occupy memory without bound, and against an
// outcome that is lost together with its payload.
func TestPayloadsAreBounded(t *testing.T) {
	l := NewLedgerWithLimits("a", "1", rand.NewChaCha8([32]byte{3}), time.Now, Limits{Records: 10, ResultBytes: 5})
	var redemptions []*Redemption
	for range 3 {
		token, _, err := l.Issue("team", "service", "k")
		assert.NilError(t, err)
		r, err := l.Redeem(token, "team", "service", "k", nil)
		assert.NilError(t, err)
		r.Complete(Result{Run: peerpb.RunState_RUN_STATE_RUN, Payload: []byte("two")[:2]})
		redemptions = append(redemptions, r)
	}
	for i, r := range redemptions {
		result, err := r.Wait(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, result.PayloadDropped, i == 0)
		assert.Equal(t, result.Run, peerpb.RunState_RUN_STATE_RUN)
	}
	l.StopIssuing()
	_, _, err := l.Issue("team", "service", "k")
	assert.DeepEqual(t, err, error(&Error{Kind: KindStopped}))
}

// Guards against an issuer that cannot be read from a valid ticket, and against a
// panic on malformed ones.
func TestIssuerOfToken(t *testing.T) {
	token, _, err := NewLedger("a", "1", rand.NewChaCha8([32]byte{4}), time.Now).Issue("team", "service", "k")
	assert.NilError(t, err)
	instance, incarnation, err := ParseIssuer(token)
	assert.NilError(t, err)
	assert.Equal(t, instance+incarnation, "a1")
	rapid.Check(t, func(t *rapid.T) {
		cut := rapid.IntRange(0, len(token)-1).Draw(t, "cut")
		_, _, err := ParseIssuer(token[:cut] + rapid.String().Draw(t, "tail") + "*")
		assert.Equal(t, err.(*Error).Kind, KindMalformed)
	})
}
