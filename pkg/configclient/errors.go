package configclient

// NotFoundError reports that the service has no value for Key.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return "configuration service: no value for key " + e.Key
}

// OverLimitError reports that all readers together are above the read limit.
type OverLimitError struct{}

// Error implements error.
func (e *OverLimitError) Error() string {
	return "configuration service: over the read limit"
}

// BadReplyError reports a reply that the protocol does not allow.
type BadReplyError struct {
	Detail string
}

// Error implements error.
func (e *BadReplyError) Error() string {
	return "configuration service: bad reply: " + e.Detail
}
