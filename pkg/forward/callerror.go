package forward

// CallError is the error of an attempt without a usable reply.
type CallError struct {
	Sent bool // the request may have reached the backend server
	// ConnectionLost is set when the connection ended while the server was running the
	// request, before any byte of its reply.
	ConnectionLost bool
	Detail         string // for logs
	Cause          error
}

// Error returns the detail and, if there is one, the cause.
func (e *CallError) Error() string {
	if e.Cause == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
