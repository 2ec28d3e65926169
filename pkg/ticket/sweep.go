package ticket

import "time"

// sweep forgets what has expired. Both queues are in order of their end times,
// because the window and the retention are constants. The caller holds l.mu.
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
	l.boundPayloads()
}

// boundPayloads drops the payloads of the oldest outcomes above the limit. The
// run state stays, so no outcome is lost. The caller holds l.mu.
func (l *Ledger) boundPayloads() {
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
