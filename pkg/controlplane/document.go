package controlplane

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Document is one control document. For a bundle, Revision and Digest are the
// signed version and digest of the bundle.
type Document struct {
	Key      string
	Revision int64
	Digest   string
	Data     []byte
}

// Version returns the document's place in the order of its key.
func (d Document) Version() Version {
	return Version{Key: d.Key, Revision: d.Revision, Digest: d.Digest}
}

// contentDigest is the digest of documents without a signature. It only has to
// tell different contents of one revision apart, and it travels in every
// exchange, so it is short.
func contentDigest(data []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}
