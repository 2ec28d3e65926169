package feed

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// ErrHistoryGone is returned by Watch when the source no longer has all changes since
// the revision. The caller has to read all items again.
var ErrHistoryGone = errors.New("the history of changes is gone")

// Item is one published item. The platform defines the format of the value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the item's last change
	Removed  bool
}

// Batch holds all items, or the changed ones, as of a revision.
type Batch struct {
	Items    []Item
	Revision int64
	// Age is the time since the store confirmed that there is no newer change.
	Age time.Duration
}

// Source is the platform's store, or another instance that follows it.
type Source interface {
	// Read returns all items. The result is not a consistent snapshot: changes after its
	// revision may already be included, so the caller watches from that revision on.
	Read(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision, in their order. It returns as soon as
	// there is a change, or without changes after wait.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
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
