package configclient

// NotFoundError reports that the service has no value for Key.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return "configuration service: no value for key " + e.Key
}

// RateLimitedError reports that the service refused a call because all readers
// together exceed its rate limit.
type RateLimitedError struct{}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "configuration service: read limit exceeded"
}

// BadReplyError reports a reply that violates the service's protocol.
type BadReplyError struct {
	Detail string
}

// Error implements error.
func (e *BadReplyError) Error() string {
	return "configuration service: bad reply: " + e.Detail
}
