package feed

// Sources chooses whom an instance follows.
type Sources interface {
	// Peer returns another instance to follow in place of the store, or nil when
	// this instance is to read the store itself. Attempt counts the failures of
	// the instances chosen before.
	Peer(attempt int) PeerSource
}

// PeerSource is another instance.
type PeerSource interface {
	Source
	ID() string
}
