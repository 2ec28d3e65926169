package ticket

// Kind is the reason why a ticket is not issued or not redeemed.
type Kind string

// Reasons. KindFull and KindStopped refuse issues, the others redemptions.
const (
	KindMalformed   Kind = "malformed"    // not the form of a ticket
	KindForged      Kind = "forged"       // authentication failed
	KindOtherIssuer Kind = "other-issuer" // issued by another instance
	KindIssuerGone  Kind = "issuer-gone"  // issued by another incarnation of this instance
	KindExpired     Kind = "expired"      // not redeemed in time, or forgotten
	KindConflict    Kind = "conflict"     // bound to another request or body
	KindFull        Kind = "full"         // no memory for another ticket
	KindStopped     Kind = "stopped"      // the instance is leaving
)
