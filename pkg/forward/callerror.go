package forward

// CallError is the error of an attempt without a usable reply.
type CallError struct {
	Sent bool // the request may have reached the backend server
	// ConnectionLost is set when the connection ended while the server was running the
	// request, before any byte of its reply, or the server went down during the reply.
	ConnectionLost bool
	// ServerDown is set if the connection ended during the reply and the server still accepted
	// connections. It reports after a while whether the server is down. It has to be called.
	ServerDown func() bool
	Detail     string // for logs
	Cause      error
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
