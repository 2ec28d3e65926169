package feed

import "time"

// TableReply is an instance's confirmation of the table to another one.
type TableReply struct {
	Version int64
	Era     int64         // of the instance's view; 0 is unknown
	Item    *Item         // the table, if it is newer than the other instance's
	Age     time.Duration // since the store has confirmed the table
}
