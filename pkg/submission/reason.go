package submission

// Reason states why a submission or a request for a ticket was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonTicket            Reason = "ticket"             // see Refusal.Ticket
	ReasonNoSnapshot        Reason = "no-snapshot"        // this instance has no index manifest of the service
	ReasonNoShard           Reason = "no-shard"           // no shard of the snapshot holds the key
	ReasonNoOwner           Reason = "no-owner"           // no owner issued a ticket
	ReasonIssuerUnknown     Reason = "issuer-unknown"     // the view does not contain the ticket's issuer
	ReasonIssuerUnreachable Reason = "issuer-unreachable" // no message reached the issuer
	ReasonNoAnswer          Reason = "no-answer"          // the issuer may have received the message
	ReasonBackend           Reason = "backend"            // see Refusal.Status
)
