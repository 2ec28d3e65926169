package ticket

import "time"

// sweep deletes the records of expired tickets. The queue issued is in order of the
// ends of the redeem windows and the queue completed in order of the ends of the
// retention, because RedeemWindow and OutcomeRetention are constants. The caller
// holds l.mu.
func (l *Ledger) sweep(now time.Time) {
	for r := l.issued.front(); r != nil; r = l.issued.front() {
		if !r.redeemed && now.Before(r.forgetAt) {
			break
		}
		l.issued.pop()
		if !r.redeemed {
			delete(l.records, r.id)
			l.live--
		}
	}
	for r := l.completed.front(); r != nil && !now.Before(r.forgetAt); r = l.completed.front() {
		l.completed.pop()
		l.dropPayload(r)
		delete(l.records, r.id)
	}
	l.dropExcessPayloads()
}

// dropExcessPayloads drops the payloads of the oldest outcomes until the others are
// within the limit. The run state stays, so that no outcome is lost. The caller holds l.mu.
func (l *Ledger) dropExcessPayloads() {
	for r := l.payloads.front(); r != nil; r = l.payloads.front() {
		if l.resultBytes <= l.limits.ResultBytes && r.result.Payload != nil {
			return
		}
		l.payloads.pop()
		l.dropPayload(r)
	}
}

func (l *Ledger) dropPayload(r *record) {
	if r.result.Payload == nil {
		return
	}
	l.resultBytes -= int64(len(r.result.Payload))
	r.result.Payload = nil
	r.result.PayloadDropped = true
}
