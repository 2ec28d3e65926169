package ticket

// Kind is the reason why a ticket is not issued or not redeemed.
type Kind string

// KindFull and KindStopped are reasons not to issue a ticket, the others reasons
// not to redeem one.
const (
	KindMalformed   Kind = "malformed"    // not in the format of a ticket
	KindForged      Kind = "forged"       // authentication failed
	KindOtherIssuer Kind = "other-issuer" // issued by another instance
	KindIssuerGone  Kind = "issuer-gone"  // issued by another incarnation of this instance
	KindExpired     Kind = "expired"      // not redeemed in time, or its record was deleted after the retention
	KindConflict    Kind = "conflict"     // bound to another request or body
	KindFull        Kind = "full"         // Limits.Records is reached: no memory for another ticket
	KindStopped     Kind = "stopped"      // the instance is leaving
)
