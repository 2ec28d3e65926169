package controlplane

import "fmt"

// RejectedError reports a document that is malformed or whose signatures do not
// verify. The store keeps the document that it held before.
type RejectedError struct {
	Key      string
	Revision int64 // as given to Store.Accept
	Err      error // finding.List with the position in the document, or the verifier's error
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("document %s at revision %d rejected: %v", e.Key, e.Revision, e.Err)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Err }

// MismatchError reports data of another version than the announced one, for
// example because the peer replaced its document before it sent the data.
type MismatchError struct {
	Announced, Got Version
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("document %s: announced revision %d with digest %s, got revision %d with digest %s",
		e.Announced.Key, e.Announced.Revision, e.Announced.Digest, e.Got.Revision, e.Got.Digest)
}

// UnavailableError reports that neither the configuration service nor a peer
// supplied what an operation needs.
type UnavailableError struct {
	What string // what is unavailable, for the error message
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "neither configuration service nor peers: " + e.What
}
