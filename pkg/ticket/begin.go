package ticket

import "time"

// Begin redeems a token for the body that key and payload are. The first
// redemption of a ticket returns a Redemption whose First is true: its holder
// runs the submission and must call Complete. Others return one to wait on. The
// error is an *Error.
func (l *Ledger) Begin(token, team, service, key string, payload []byte) (*Redemption, error) {
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
		return nil, l.expired(content, now)
	}
	if !r.redeemed {
		l.redeem(r, body)
		return &Redemption{First: true, ledger: l, record: r}, nil
	}
	if r.body != body {
		return nil, &Error{Kind: KindConflict, EarlierUnknown: true}
	}
	return &Redemption{ledger: l, record: r}, nil
}

// authenticate returns the content of a token that this ledger has issued.
func (l *Ledger) authenticate(token string) (claims, error) {
	decoded, ok := decode(token)
	switch {
	case !ok:
		return claims{}, &Error{Kind: KindMalformed, EarlierUnknown: true}
	case decoded.claims.instanceID != l.instanceID:
		return claims{}, &Error{Kind: KindOtherIssuer, EarlierUnknown: true}
	case decoded.claims.incarnation != l.incarnation:
		return claims{}, &Error{Kind: KindIssuerGone, EarlierUnknown: true}
	case l.keyErr != nil || !decoded.authentic(l.key):
		return claims{}, &Error{Kind: KindForged, EarlierUnknown: true}
	default:
		return decoded.claims, nil
	}
}

// redeem marks the record as redeemed. The caller holds l.mu.
func (l *Ledger) redeem(r *record, body [32]byte) {
	r.redeemed = true
	r.body = body
	r.done = make(chan struct{})
	l.live--
	l.running++
}

// expired refuses an authentic ticket without a record. A redeemed ticket keeps
// its record for the retention at least, so a younger ticket without one was
// never redeemed.
func (l *Ledger) expired(content claims, now time.Time) *Error {
	age := now.Sub(l.created) - content.issuedAt
	return &Error{Kind: KindExpired, EarlierUnknown: age >= OutcomeRetention}
}
