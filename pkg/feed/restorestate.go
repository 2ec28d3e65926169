package feed

import "time"

// RestoreState is what an instance holds in place of items of a restored store. It is sent with
// all items to other instances, so that one that starts decides as the sender does.
type RestoreState struct {
	Ago       time.Duration // since the first read of the era; at least 1 ms
	EraBefore int64         // era that the sender had known before
	FreshFrom int64         // items from this revision on were written after EraBefore
	Earlier   []Item        // in place of those of the store; those removed are not used
	Table     *Item         // the table in force, if the store's is older
}
