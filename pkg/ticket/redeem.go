package ticket

import "time"

// Redeem redeems a token for the submission with the given key and payload. The
// first redemption of a ticket returns a Redemption whose First is true: its
// holder runs the submission and must call Complete. Later redemptions return
// one whose holder calls Wait for the outcome. The error is an *Error.
func (l *Ledger) Redeem(token, team, service, key string, payload []byte) (*Redemption, error) {
	content, err := l.authenticate(token)
	if err != nil {
		return nil, err
	}
	if content.scope != digest(team, service, key) {
		return nil, &Error{Kind: KindConflict, EarlierUnknown: true}
	}
	body := digest(string(payload))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.sweep(now)
	r, ok := l.records[content.id]
	if !ok {
		return nil, l.expiredError(content, now)
	}
	if !r.redeemed {
		l.markRedeemed(r, body)
		return &Redemption{First: true, ledger: l, record: r}, nil
	}
	if r.bodyDigest != body {
		return nil, &Error{Kind: KindConflict, EarlierUnknown: true}
	}
	return &Redemption{ledger: l, record: r}, nil
}

// authenticate returns the content of a token, or an *Error when this ledger has
// not issued it.
func (l *Ledger) authenticate(token string) (claims, error) {
	decoded, ok := decode(token)
	switch {
	case !ok:
		return claims{}, &Error{Kind: KindMalformed, EarlierUnknown: true}
	case decoded.claims.instanceID != l.instanceID:
		return claims{}, &Error{Kind: KindOtherIssuer, EarlierUnknown: true}
	case decoded.claims.incarnation != l.incarnation:
		return claims{}, &Error{Kind: KindIssuerGone, EarlierUnknown: true}
	case l.keyErr != nil || !decoded.isAuthentic(l.key):
		return claims{}, &Error{Kind: KindForged, EarlierUnknown: true}
	default:
		return decoded.claims, nil
	}
}

// markRedeemed marks the record as redeemed for the body with the given digest. The
// caller holds l.mu.
func (l *Ledger) markRedeemed(r *record, body [32]byte) {
	r.redeemed = true
	r.bodyDigest = body
	r.done = make(chan struct{})
	l.live--
	l.running++
}

// expiredError returns the error for an authentic ticket without a record. A redeemed
// ticket keeps its record at least for OutcomeRetention, so a ticket that is
// younger than that and has no record was never redeemed.
func (l *Ledger) expiredError(content claims, now time.Time) *Error {
	age := now.Sub(l.created) - content.issuedAt
	return &Error{Kind: KindExpired, EarlierUnknown: age >= OutcomeRetention}
}
