package ticket

// Error refuses an issue or a redemption. The refused attempt has not run
// anything and never will.
type Error struct {
	Kind Kind
	// EarlierUnknown is true when earlier attempts with the ticket may have
	// run. When it is false, nothing has run with the ticket and nothing will.
	EarlierUnknown bool
}

// Error names the kind and says what is known about earlier attempts.
func (e *Error) Error() string {
	text := "ticket " + string(e.Kind) + ": not run by this attempt"
	if e.EarlierUnknown {
		return text + "; outcome of earlier attempts unknown"
	}
	return text
}
