package ticket

import (
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// keyBytes is the length of the HMAC key: the size of a SHA-256 digest.
const keyBytes = 32

// Ledger issues tickets and records their redemptions. It is safe for
// concurrent use.
type Ledger struct {
	instanceID  string
	incarnation string
	now         func() time.Time
	created     time.Time
	limits      Limits
	key         []byte
	keyErr      error

	mu          sync.Mutex // guards everything below, and random
	random      io.Reader
	stopped     bool
	records     map[ticketID]*record
	issued      fifo // in order of issue; redeemed records stay until they reach the front
	completed   fifo // in order of completion
	payloads    fifo // completed records whose payload may still be kept
	resultBytes int64
	live        int // issued, not redeemed, not expired
	running     int // redeemed, not completed
}

// NewLedger returns a ledger with DefaultLimits. random must be a source of
// cryptographic quality; now must return monotonic readings.
func NewLedger(instanceID, incarnation string, random io.Reader, now func() time.Time) *Ledger {
	return NewLedgerWithLimits(instanceID, incarnation, random, now, DefaultLimits)
}

// NewLedgerWithLimits returns a ledger with the given limits.
func NewLedgerWithLimits(instanceID, incarnation string, random io.Reader, now func() time.Time, limits Limits) *Ledger {
	l := &Ledger{
		instanceID:  instanceID,
		incarnation: incarnation,
		now:         now,
		created:     now(),
		limits:      limits,
		key:         make([]byte, keyBytes),
		random:      random,
		records:     map[ticketID]*record{},
	}
	_, err := io.ReadFull(random, l.key)
	l.keyErr = eris.Wrap(err, "generate the ticket key")
	return l
}

// StopIssuing makes every later Issue fail with KindStopped. Tickets that
// are already issued can still be redeemed.
func (l *Ledger) StopIssuing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// LiveTickets returns the number of tickets that are issued and neither redeemed
// nor expired. A graceful shutdown waits until it is 0.
func (l *Ledger) LiveTickets() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(l.now())
	return l.live
}

// RunningSubmissions returns the number of tickets that are redeemed and whose
// submission has not completed.
func (l *Ledger) RunningSubmissions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Records returns the number of tickets that occupy memory.
func (l *Ledger) Records() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(l.now())
	return len(l.records)
}
