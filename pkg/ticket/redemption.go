package ticket

import (
	"context"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Redemption is one use of a ticket.
type Redemption struct {
	// First is true for the redemption that runs the submission.
	First  bool
	ledger *Ledger
	record *record
}

// Complete stores the outcome of the submission and wakes the redemptions that
// wait for the outcome. Only the first call on the first redemption has an effect. The
// outcome "not run" is final too: the ticket runs nothing afterwards.
func (r *Redemption) Complete(result Result) {
	if !r.First {
		return
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.record.completed() {
		return
	}
	now := l.now()
	r.record.result = result
	r.record.forgetAt = now.Add(OutcomeRetention)
	l.running--
	l.completed.push(r.record)
	if result.Payload != nil {
		l.resultBytes += int64(len(result.Payload))
		l.payloads.push(r.record)
	}
	l.dropExcessPayloads()
	close(r.record.done)
}

// ID returns the id of the ticket, unique among all issuers.
func (r *Redemption) ID() string {
	return hex.EncodeToString(r.record.id[:])
}

// Wait returns the stored outcome once the submission has completed. The error
// is that of the context; the submission may have run nevertheless.
func (r *Redemption) Wait(ctx context.Context) (Result, error) {
	select {
	case <-r.record.done:
	case <-ctx.Done():
		// Both channels may be ready, and a known outcome must be returned.
		if !r.record.completed() {
			return Result{}, eris.Wrap(ctx.Err(), "wait for the outcome of a ticket")
		}
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return r.record.result, nil
}
