package feed

// Sources chooses other instances to follow in place of the store.
type Sources interface {
	// Reader returns the instance that reads the store for this availability zone,
	// or nil when that is this instance.
	Reader() PeerSource
	// Deputy returns an instance that reads the store while the reader fails, another
	// one for each number of failed deputies. It returns nil when this instance is to
	// read the store itself.
	Deputy(failed int) PeerSource
	// Any returns some other instance, or nil when none is known.
	Any() PeerSource
}

// PeerSource is another instance.
type PeerSource interface {
	Source
	ID() string
}
