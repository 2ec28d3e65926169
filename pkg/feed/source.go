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

// Source is the platform's store.
type Source interface {
	// Read returns everything. It is not a snapshot: changes after Revision may be
	// in it already, and have to be watched from Revision on.
	Read(ctx context.Context) (State, error)
	// ReadTable returns the newest table alone, nil when none is published.
	ReadTable(ctx context.Context) (*routing.Table, error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// after wait.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// State is all that is published.
type State struct {
	Table      *routing.Table // nil when none is published
	Servers    []directory.Entry
	Unreadable []Unreadable
	Revision   int64
}

// Changes are in the order in which they were made.
type Changes struct {
	Table      *routing.Table // newest, nil when it has not changed
	Servers    []ServerChange
	Unreadable []Unreadable
	Revision   int64
}

// ServerChange is a changed entry; Entry is nil when it was removed.
type ServerChange struct {
	ID    string
	Entry *directory.Entry
}

// Unreadable is a published item that cannot be used.
type Unreadable struct {
	Key   string
	Cause error
}
