// Package gather merges the parts of a sharded answer.
package gather

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordBytes is the size of a record; records are compared byte by byte.
const RecordBytes = 16

// Merge returns the top greatest records of all parts, in descending order, as
// one body. Equal records are all kept. Trailing bytes of a part that are too
// few for a record are ignored.
func Merge(parts [][]byte, top int) []byte {
	kept := make(recordHeap, 0, top)
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			kept.offer(part[:RecordBytes], top)
		}
	}
	slices.SortFunc(kept, func(a, b []byte) int { return bytes.Compare(b, a) })
	body := make([]byte, 0, len(kept)*RecordBytes)
	for _, record := range kept {
		body = append(body, record...)
	}
	return body
}

// recordHeap is a heap of the greatest records so far, with the smallest of them first.
type recordHeap [][]byte

func (s *recordHeap) offer(record []byte, top int) {
	switch {
	case top <= 0:
	case len(*s) < top:
		heap.Push(s, record)
	case bytes.Compare(record, (*s)[0]) > 0:
		(*s)[0] = record
		heap.Fix(s, 0)
	}
}

func (s recordHeap) Len() int           { return len(s) }
func (s recordHeap) Less(i, j int) bool { return bytes.Compare(s[i], s[j]) < 0 }
func (s recordHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *recordHeap) Push(x any) { *s = append(*s, x.([]byte)) }

// Pop implements heap.Interface.
func (s *recordHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
