package ticket

// Error is the refusal to issue or to redeem a ticket. The refused attempt has
// run nothing and never will.
type Error struct {
	Kind Kind
	// EarlierUnknown is true when earlier attempts with the ticket may have
	// run. When it is false, nothing has run with the ticket and nothing will.
	EarlierUnknown bool
}

// Error returns a text with the kind and whether earlier attempts may have run.
func (e *Error) Error() string {
	text := "ticket " + string(e.Kind) + ": not run by this attempt"
	if e.EarlierUnknown {
		return text + "; outcome of earlier attempts unknown"
	}
	return text
}
