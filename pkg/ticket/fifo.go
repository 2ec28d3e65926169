package ticket

// fifo is a queue of records. It moves its records to the front of the slice once
// half of the slice is unused, so that its memory stays proportional to its
// length.
type fifo struct {
	items []*record
	head  int
}

func (f *fifo) push(r *record) {
	f.items = append(f.items, r)
}

func (f *fifo) front() *record {
	if f.head == len(f.items) {
		return nil
	}
	return f.items[f.head]
}

func (f *fifo) pop() {
	f.items[f.head] = nil
	f.head++
	if f.head*2 >= len(f.items) {
		kept := copy(f.items, f.items[f.head:])
		clear(f.items[kept:])
		f.items, f.head = f.items[:kept], 0
	}
}
