package controlplane

import (
	"time"
)

const (
	// rejectionHold is the time for which a version is not fetched again after its
	// first rejection. It is short so that an intact copy still takes effect in time
	// when the first copy was damaged in transit.
	rejectionHold = 500 * time.Millisecond
	// maxRejectionHold bounds the hold, which doubles with each rejection of the
	// same version because repeated fetches of an invalid document cost bandwidth.
	maxRejectionHold = 64 * time.Second
	// maxRejections bounds the remembered versions.
	maxRejections = 256
)

// rejection is the time until which a rejected version is not wanted.
type rejection struct {
	until time.Time
	hold  time.Duration
}

// rejections remembers rejected documents. It is not safe for concurrent use.
type rejections struct {
	held     map[Version]rejection     // by announced version
	reported map[Version]struct{}      // by key and content
	latest   map[string]*RejectedError // by key, since the last acceptance
}

func newRejections() *rejections {
	return &rejections{
		held:     make(map[Version]rejection),
		reported: make(map[Version]struct{}),
		latest:   make(map[string]*RejectedError),
	}
}

// isHeld reports whether a rejection of the version still keeps it from being fetched.
func (r *rejections) isHeld(v Version, now time.Time) bool {
	held, ok := r.held[v]
	return ok && now.Before(held.until)
}

// hold keeps an announced version from being fetched until its hold ends.
func (r *rejections) hold(announced Version, now time.Time) {
	if len(r.held) >= maxRejections {
		clear(r.held)
	}
	hold := min(max(2*r.held[announced].hold, rejectionHold), maxRejectionHold)
	r.held[announced] = rejection{until: now.Add(hold), hold: hold}
}

// isNew reports whether this content was not rejected before. The same document
// arrives from the service and from several peers.
func (r *rejections) isNew(document Document) bool {
	content := Version{Key: document.Key, Digest: contentDigest(document.Data)}
	if _, ok := r.reported[content]; ok {
		return false
	}
	if len(r.reported) >= maxRejections {
		clear(r.reported)
	}
	r.reported[content] = struct{}{}
	return true
}

// reject remembers a rejected document and logs the place of the error once.
func (s *Store) reject(document Document, cause error) error {
	err := &RejectedError{Key: document.Key, Revision: document.Revision, Err: cause}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected.isNew(document) {
		s.log.Error("control document rejected", "key", document.Key, "revision", document.Revision, "cause", cause)
	}
	s.rejected.latest[document.Key] = err
	if document.Digest != "" {
		s.rejected.hold(document.Version(), s.now())
	}
	return err
}

// rejection returns the latest rejection of a document of key since the last
// acceptance of one, or nil.
func (s *Store) rejection(key string) *RejectedError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected.latest[key]
}
