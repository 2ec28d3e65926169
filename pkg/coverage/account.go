// Package coverage computes the fraction of a snapshot that an answer covers.
// The denominator is the number of documents in the pinned snapshot's manifest,
// never the number of shards asked, so that neither a lost shard nor a
// repartition can hide documents.
package coverage

import (
	"sort"

	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// Account records which shards of one snapshot have answered or failed. It
// belongs to one query and is not safe for concurrent use.
type Account struct {
	snapshot         snapshot.Snapshot
	partitions       map[int]snapshot.Partition
	totalDocuments   int64          // in the snapshot
	coveredDocuments int64          // in answered shards
	failedDocuments  int64          // in failed shards
	answered         map[int]bool   // by shard
	failureReasons   map[int]Reason // by shard
}

// NewAccount returns an account in which no shard has answered or failed.
func NewAccount(s snapshot.Snapshot) *Account {
	partitions := make(map[int]snapshot.Partition, len(s.Partitions))
	for _, p := range s.Partitions {
		partitions[p.Shard] = p
	}
	return &Account{
		snapshot:       s,
		partitions:     partitions,
		totalDocuments: s.Documents(),
		answered:       make(map[int]bool),
		failureReasons: make(map[int]Reason),
	}
}

// AddReply counts a shard as covered. If the reply's range or document count differs
// from the manifest's, it returns a *MismatchError. A second reply of a shard is
// ignored.
func (a *Account) AddReply(reply snapshot.Partition) error {
	partition, ok := a.partitions[reply.Shard]
	if !ok || partition != reply {
		return &MismatchError{Want: partition, Got: reply}
	}
	if a.answered[reply.Shard] {
		return nil
	}
	a.answered[reply.Shard] = true
	a.coveredDocuments += partition.Documents
	if _, hadFailed := a.failureReasons[reply.Shard]; hadFailed {
		a.failedDocuments -= partition.Documents
		delete(a.failureReasons, reply.Shard)
	}
	return nil
}

// Fail records why a shard will not answer. It has no effect on a shard that has
// answered.
func (a *Account) Fail(shard int, reason Reason) {
	if a.answered[shard] {
		return
	}
	if _, alreadyFailed := a.failureReasons[shard]; !alreadyFailed {
		a.failedDocuments += a.partitions[shard].Documents
	}
	a.failureReasons[shard] = reason
}

// Reachable returns the fraction that would be covered if every shard that has
// not failed answered.
func (a *Account) Reachable() float64 {
	return fraction(a.totalDocuments-a.failedDocuments, a.totalDocuments)
}

// Report returns the coverage so far. Shards that have neither answered nor
// failed are missing with the reason pending.
func (a *Account) Report(pending Reason) Report {
	r := Report{
		Documents:      a.coveredDocuments,
		DocumentsTotal: a.totalDocuments,
		Fraction:       fraction(a.coveredDocuments, a.totalDocuments),
		Missing:        []MissingShard{},
	}
	for _, p := range a.snapshot.Partitions {
		if !a.answered[p.Shard] {
			r.Missing = append(r.Missing, a.describeMissing(p, pending))
		}
	}
	sort.Slice(r.Missing, func(i, j int) bool { return r.Missing[i].Shard < r.Missing[j].Shard })
	r.Complete = len(r.Missing) == 0
	return r
}

// describeMissing returns the entry of a missing shard in the report. Reason
// applies if the shard has not failed.
func (a *Account) describeMissing(p snapshot.Partition, reason Reason) MissingShard {
	if recorded, ok := a.failureReasons[p.Shard]; ok {
		reason = recorded
	}
	return MissingShard{Shard: p.Shard, From: p.From, To: p.To, Documents: p.Documents, Reason: reason}
}

// fraction returns part/total, or 1 for an empty index.
func fraction(part, total int64) float64 {
	if total == 0 {
		return 1
	}
	return float64(part) / float64(total)
}
