package ticket

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// Issue returns a new ticket for one submission with the given key, and the time
// within which the ticket must be redeemed for the first time. The error is an
// *Error of KindFull or KindStopped, or a failure of the source of randomness.
func (l *Ledger) Issue(team, service, key string) (token string, expiresIn time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.sweep(now)
	if err := l.checkIssue(); err != nil {
		return "", 0, err
	}
	content := claims{
		issuedAt:    now.Sub(l.created),
		scope:       digest(team, service, key),
		instanceID:  l.instanceID,
		incarnation: l.incarnation,
	}
	if _, err := io.ReadFull(l.random, content.id[:]); err != nil {
		return "", 0, eris.Wrap(err, "generate a ticket id")
	}
	l.reserve(content.id, now)
	return content.encode(l.key), RedeemWindow, nil
}

// checkIssue returns an error when no ticket can be issued. The caller holds l.mu.
func (l *Ledger) checkIssue() error {
	switch {
	case l.keyErr != nil:
		return l.keyErr
	case len(l.instanceID) > maxNameBytes || len(l.incarnation) > maxNameBytes:
		return eris.Errorf("instance id or incarnation is longer than %d bytes", maxNameBytes)
	case l.stopped:
		return &Error{Kind: KindStopped}
	case len(l.records) >= l.limits.Records:
		return &Error{Kind: KindFull}
	default:
		return nil
	}
}

// reserve creates the record of a new ticket. The caller holds l.mu.
func (l *Ledger) reserve(id ticketID, now time.Time) {
	r := &record{id: id, forgetAt: now.Add(RedeemWindow)}
	l.records[id] = r
	l.issued.push(r)
	l.live++
}
