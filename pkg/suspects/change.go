package suspects

// Change describes a loss that changed the verdict on a request, for logs.
type Change struct {
	Fingerprint uint64
	Server      string // run of the backend server that was lost
	Verdict     Verdict
	Reported    bool // another instance observed the loss
}
