// Package capacity fits straight lines to the output of Go benchmarks and draws
// them, for the extrapolations in docs/CAPACITY.md.
package capacity
