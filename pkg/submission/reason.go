package submission

// Reason is why a submission or a ticket was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonTicket            Reason = "ticket"             // see Refusal.Ticket
	ReasonNoSnapshot        Reason = "no-snapshot"        // this instance knows no index of the service
	ReasonNoShard           Reason = "no-shard"           // no shard of the snapshot holds the key
	ReasonNoOwner           Reason = "no-owner"           // no owner issued a ticket
	ReasonIssuerUnknown     Reason = "issuer-unknown"     // the ticket's issuer is not in the view
	ReasonIssuerUnreachable Reason = "issuer-unreachable" // the message was not sent
	ReasonNoAnswer          Reason = "no-answer"          // the issuer may have received the message
	ReasonBackend           Reason = "backend"            // see Refusal.Status
)
