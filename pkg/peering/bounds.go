package peering

import "math"

// Bounds on numbers that other instances state, well above any in use. They keep sums and
// allocations of the receiver in range.
const (
	maxTop         = 1 << 20
	maxAttempts    = 1 << 10
	maxConnections = 1 << 20
	maxMillicores  = 1 << 24
)

// bounded returns a stated number, or the bound if it is higher.
func bounded(n uint32, bound int) int { return int(min(int64(n), int64(bound))) }

// shareOf returns a stated share, 0 if it is negative or not a number, and at most 1.
func shareOf(f float32) float64 {
	if math.IsNaN(float64(f)) {
		return 0
	}
	return min(max(float64(f), 0), 1)
}
