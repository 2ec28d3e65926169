// Package shedding decides which requests go first when capacity is short, and what is left
// out. It holds what one instance has observed; it does no I/O and starts no goroutines.
package shedding
