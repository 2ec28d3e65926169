package controlplane

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// Verifier checks a bundle's signatures and returns its signed version, its
// digest and the parsed bundle.
type Verifier func(data []byte) (version int64, digest string, parsed any, err error)

// Store holds the highest accepted document of each key. A document is never
// replaced by a lower one. It is safe for concurrent use; reads take no lock.
type Store struct {
	verify Verifier
	now    func() time.Time
	log    *slog.Logger

	documents atomic.Pointer[map[string]*heldDocument] // never modified; replaced by a new map with mu held

	mu        sync.Mutex
	rejected  *rejections                   // guarded by mu
	listeners []func(Document, any)         // guarded by mu
	changed   atomic.Pointer[chan struct{}] // closed and replaced when a document is accepted
}

// heldDocument is an accepted document with its decoded form.
type heldDocument struct {
	document Document
	parsed   any
}

// NewStore returns an empty store.
func NewStore(verify Verifier, now func() time.Time, log *slog.Logger) *Store {
	s := &Store{verify: verify, now: now, log: orDiscard(log), rejected: newRejections()}
	s.documents.Store(&map[string]*heldDocument{})
	changed := make(chan struct{})
	s.changed.Store(&changed)
	return s
}

// OnAccept registers a function that is called with every accepted document and
// its decoded form, in the order of acceptance. The function is called with the
// store's lock held and must not call Accept. OnAccept must be called before the
// first Accept.
func (s *Store) OnAccept(listener func(Document, any)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Accept replaces the held document with the given one if the given one has a
// higher version, and reports whether it did. The version of a bundle is read
// from the bundle itself. An empty Digest means that none was announced; Accept
// then computes the digest. Errors are *RejectedError and *MismatchError.
func (s *Store) Accept(document Document) (accepted bool, err error) {
	announced := document.Version()
	if announced.Digest != "" && !s.Wants(announced) {
		return false, nil
	}
	actual, parsed, err := s.decode(document)
	if err != nil {
		return false, s.reject(document, err)
	}
	if announced.Digest != "" && actual != announced {
		return false, &MismatchError{Announced: announced, Got: actual}
	}
	document.Revision, document.Digest = actual.Revision, actual.Digest
	return s.install(document, parsed), nil
}

// decode checks a document and returns its actual version and its decoded form. The
// version of a bundle is the signed one; for other documents it is the revision
// given and the digest of the content.
func (s *Store) decode(document Document) (version Version, parsed any, err error) {
	version = Version{Key: document.Key, Revision: document.Revision}
	switch {
	case document.Key == KeyBundle:
		version.Revision, version.Digest, parsed, err = s.verify(document.Data)
		return version, parsed, err
	case document.Key == KeyMembers:
		parsed, err = decodeMembers(document.Data)
	default:
		parsed, err = decodeManifest(document.Key, document.Data)
	}
	version.Digest = contentDigest(document.Data)
	return version, parsed, err
}

// install replaces the held document unless the held version is at least as high,
// and reports whether it did. It then calls the listeners and wakes the waiters of
// Changed.
func (s *Store) install(document Document, parsed any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := *s.documents.Load()
	if held, ok := current[document.Key]; ok && document.Version().Compare(held.document.Version()) <= 0 {
		return false
	}
	next := maps.Clone(current)
	next[document.Key] = &heldDocument{document: document, parsed: parsed}
	s.documents.Store(&next)
	delete(s.rejected.latest, document.Key)
	for _, listener := range s.listeners {
		listener(document, parsed)
	}
	s.log.Info("control document accepted", "key", document.Key,
		"revision", document.Revision, "digest", document.Digest, "bytes", len(document.Data))
	s.broadcast()
	return true
}

// broadcast closes the channel that Changed has returned. The caller holds s.mu.
func (s *Store) broadcast() {
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
}

// Wants reports whether a document of this version should be fetched: its key is a
// control key, its version is higher than the held one, and no recent rejection
// blocks it.
func (s *Store) Wants(v Version) bool {
	if !isControlKey(v.Key) {
		return false
	}
	if held, ok := (*s.documents.Load())[v.Key]; ok && v.Compare(held.document.Version()) <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.rejected.isBlocked(v, s.now())
}

// Get returns the held document of key.
func (s *Store) Get(key string) (Document, bool) {
	held, ok := (*s.documents.Load())[key]
	if !ok {
		return Document{}, false
	}
	return held.document, true
}

// Bundle returns the decoded form of the held bundle, as the verifier returned
// it, or nil.
func (s *Store) Bundle() any {
	held, ok := (*s.documents.Load())[KeyBundle]
	if !ok {
		return nil
	}
	return held.parsed
}

// Members returns the held list of members.
func (s *Store) Members() (membership.Members, bool) {
	held, ok := (*s.documents.Load())[KeyMembers]
	if !ok {
		return membership.Members{}, false
	}
	return held.parsed.(membership.Members), true
}

// Manifest returns the held index manifest of a service. It must not be
// modified.
func (s *Store) Manifest(team, service string) (*snapshot.Manifest, bool) {
	held, ok := (*s.documents.Load())[IndexKey(team, service)]
	if !ok {
		return nil, false
	}
	return held.parsed.(*snapshot.Manifest), true
}

// Versions returns the versions of all held documents, sorted by key.
func (s *Store) Versions() []Version {
	current := *s.documents.Load()
	versions := make([]Version, 0, len(current))
	for _, held := range current {
		versions = append(versions, held.document.Version())
	}
	slices.SortFunc(versions, func(a, b Version) int { return strings.Compare(a.Key, b.Key) })
	return versions
}

// Changed returns a channel that is closed when the next document is accepted. A
// caller that waits for a document must call Changed before it checks whether the
// store already holds it; otherwise it may miss the acceptance.
func (s *Store) Changed() <-chan struct{} {
	return *s.changed.Load()
}
