package feed

// Sources chooses other instances to follow in place of the store.
type Sources interface {
	// Reader returns the instance that reads the store for this availability zone,
	// or nil when that is this instance.
	Reader() PeerSource
	// Any returns some other instance, or nil when none is known.
	Any() PeerSource
}

// PeerSource is another instance.
type PeerSource interface {
	Source
	ID() string
}
