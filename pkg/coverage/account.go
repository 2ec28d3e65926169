// Package coverage computes how much of a snapshot an answer covers. The
// denominator is the pinned snapshot's manifest, never the number of shards
// asked, so that neither a lost shard nor a repartition can hide documents.
package coverage

import (
	"sort"

	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// Account collects the shards that have answered for one snapshot. It belongs
// to one query and is not safe for concurrent use.
type Account struct {
	snapshot snapshot.Snapshot
	byShard  map[int]snapshot.Partition
	total    int64          // documents
	covered  int64          // documents of answered shards
	lost     int64          // documents of failed shards
	answered map[int]bool   // by shard
	failed   map[int]Reason // reason, by shard
}

// NewAccount returns an account in which nothing is covered.
func NewAccount(s snapshot.Snapshot) *Account {
	byShard := make(map[int]snapshot.Partition, len(s.Partitions))
	for _, p := range s.Partitions {
		byShard[p.Shard] = p
	}
	return &Account{
		snapshot: s,
		byShard:  byShard,
		total:    s.Documents(),
		answered: make(map[int]bool),
		failed:   make(map[int]Reason),
	}
}

// Add counts a shard as covered. A reply whose range or document count differs
// from the manifest's is rejected with a *MismatchError; a second reply of one
// shard is ignored.
func (a *Account) Add(got snapshot.Partition) error {
	want, ok := a.byShard[got.Shard]
	if !ok || want != got {
		return &MismatchError{Want: want, Got: got}
	}
	if a.answered[got.Shard] {
		return nil
	}
	a.answered[got.Shard] = true
	a.covered += want.Documents
	if _, failed := a.failed[got.Shard]; failed {
		a.lost -= want.Documents
		delete(a.failed, got.Shard)
	}
	return nil
}

// Fail records why a shard will not answer.
func (a *Account) Fail(shard int, reason Reason) {
	if a.answered[shard] {
		return
	}
	if _, known := a.failed[shard]; !known {
		a.lost += a.byShard[shard].Documents
	}
	a.failed[shard] = reason
}

// Reachable returns the fraction that is covered if every shard answers that
// has not failed.
func (a *Account) Reachable() float64 {
	return fraction(a.total-a.lost, a.total)
}

// Report returns the coverage so far; shards without an answer are missing
// with the given reason unless they failed with their own.
func (a *Account) Report(pending Reason) Report {
	r := Report{
		Documents:      a.covered,
		DocumentsTotal: a.total,
		Fraction:       fraction(a.covered, a.total),
		Missing:        []Missing{},
	}
	for _, p := range a.snapshot.Partitions {
		if !a.answered[p.Shard] {
			r.Missing = append(r.Missing, a.missing(p, pending))
		}
	}
	sort.Slice(r.Missing, func(i, j int) bool { return r.Missing[i].Shard < r.Missing[j].Shard })
	r.Complete = len(r.Missing) == 0
	return r
}

func (a *Account) missing(p snapshot.Partition, reason Reason) Missing {
	if own, ok := a.failed[p.Shard]; ok {
		reason = own
	}
	return Missing{Shard: p.Shard, From: p.From, To: p.To, Documents: p.Documents, Reason: reason}
}

// fraction returns part/total; an empty index is wholly covered.
func fraction(part, total int64) float64 {
	if total == 0 {
		return 1
	}
	return float64(part) / float64(total)
}
