package feed

import "context"

// Sources selects other instances that this instance follows in place of the store.
type Sources interface {
	// Reader returns the instance that reads the store for this availability zone, or nil
	// when that is this instance.
	Reader() PeerSource
	// Standby returns a standby reader: an instance that reads the store while the zone's
	// reader fails. Each value of failed, the number of standby readers that have already
	// failed, gives a different instance. Standby returns nil when this instance has to
	// read the store itself.
	Standby(failed int) PeerSource
	// StoreCallers returns how many instances of the zone read the store, like this one,
	// while neither the reader nor a standby reader does. It is 1 for these themselves.
	StoreCallers() int
	// Any returns an arbitrary other instance, or nil when none is known.
	Any() PeerSource
}

// PeerSource is another instance used as a source.
type PeerSource interface {
	Source
	ID() string
	// ConfirmTable asks the instance whether the table of the given version is the newest.
	// The instance asks the store if its own view is not recent enough.
	ConfirmTable(ctx context.Context, version int64) (TableReply, error)
}
