package feed

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// ErrHistoryGone is returned by Watch when changes since the revision are no
// longer known; everything has to be read again.
var ErrHistoryGone = errors.New("the history of changes is gone")

// Item is one published item. Its value has the platform's format.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Removed  bool
}

// Batch holds items as of a revision.
type Batch struct {
	Items    []Item
	Revision int64
	// Age is how long ago the store has confirmed that there is nothing newer.
	Age time.Duration
}

// Source is the platform's store, or another instance that follows it.
type Source interface {
	// Read returns all items. It is not a snapshot: changes after the revision may
	// be in it already, and have to be watched from the revision on.
	Read(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision, in their order, as soon as there
	// is one, or none after wait.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Store is the platform's store itself.
type Store interface {
	Source
	// ReadTable returns the item of the table, or none.
	ReadTable(ctx context.Context) (Batch, error)
}

// Decoder reads the platform's formats.
type Decoder interface {
	// Decode never fails: what cannot be used has Err set.
	Decode(item Item) Decoded
}

// Decoded is the meaning of an item. At most one of Table and ServerID is set;
// neither is for an item that does not concern this product.
type Decoded struct {
	Table    *routing.Table
	ServerID string
	Entry    *directory.Entry // nil when the entry was removed or names no usable server
	Err      error            // why the item cannot be used
}
