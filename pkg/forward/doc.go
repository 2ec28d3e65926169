// Package forward forwards a caller's request to the backend servers of its route and
// combines their replies into one answer. It decides which replica gets an attempt, when
// to hedge or retry, when to send an answer that lacks some shards, and when to give up a
// request. Package backend opens the connections.
package forward
