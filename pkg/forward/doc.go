// Package forward takes a caller's request to the backend servers of its route
// and brings back one answer. It decides which replica gets an attempt, when a
// second one is worth its load, when an answer with some shards missing goes
// out, and when a request is given up. It opens no connections itself.
package forward
