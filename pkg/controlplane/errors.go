package controlplane

import "fmt"

// RejectedError reports a document that is malformed or whose signatures do not
// verify. The document held before stays in effect.
type RejectedError struct {
	Key      string
	Revision int64 // as announced
	Err      error // finding.List with the place, or the verifier's error
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("document %s at revision %d rejected: %v", e.Key, e.Revision, e.Err)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Err }

// MismatchError reports data that is not the announced document, for example
// because the peer has replaced it in between.
type MismatchError struct {
	Announced, Got Version
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("document %s: announced %d %s, got %d %s", e.Announced.Key,
		e.Announced.Revision, e.Announced.Digest, e.Got.Revision, e.Got.Digest)
}

// UnavailableError reports that neither the service nor a peer could supply
// what the operation needs.
type UnavailableError struct {
	What string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "neither configuration service nor peers: " + e.What
}
