package feed

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// ErrHistoryGone is returned by Watch when the source no longer has all changes since
// the position, in this era or at all. The caller has to read all items again.
var ErrHistoryGone = errors.New("the history of changes is gone")

// ErrNoView is returned by an instance that has not read the store yet.
var ErrNoView = errors.New("this instance has not read the store yet")

// Item is one published item. The platform defines the format of the value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the item's last change, in the era of the batch
	Removed  bool
	// WrittenAfter is a time after which the store has accepted the change; zero is unknown. While
	// the store answers nobody it accepts none, so the time of an outage does not count.
	WrittenAfter time.Time
}

// Batch holds all items, or the changed ones, as of a position.
type Batch struct {
	Items    []Item
	Position Position // its era is 0 if the source does not know it
	// Age is the time since the store confirmed that there is no newer change.
	Age time.Duration
	// Restored is set with all items of an instance that has seen the store restored.
	Restored *RestoreState
}

// Source is the platform's store, or another instance that follows it.
type Source interface {
	// Read returns all items. The result is not a consistent snapshot: changes after its
	// position may already be included, so the caller watches from that position on.
	Read(ctx context.Context) (Batch, error)
	// Watch returns the changes after a position, in their order. It returns as soon as
	// there is a change, or without changes after wait. A source in an older era than that
	// of the position returns its own position without changes, one in a newer era
	// ErrHistoryGone. The store itself answers by the revision alone.
	Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error)
}

// Store is the platform's store itself.
type Store interface {
	Source
	// ReadTable returns the item that holds the table, or no item if there is none.
	ReadTable(ctx context.Context) (Batch, error)
}

// Decoder decodes the platform's formats.
type Decoder interface {
	// Decode reports an item that cannot be used in the Err field of the result.
	Decode(item Item) Decoded
}

// Decoded is the content of an item. At most one of Table, ServerID and DrainedZone is set;
// none is set for an item that does not concern this product.
type Decoded struct {
	Table       *routing.Table
	ServerID    string
	Entry       *directory.Entry // nil when the entry was removed or names no usable server
	DrainedZone string           // zone that the operator drains; it returns when the item is removed
	Err         error            // why the item cannot be used
}
