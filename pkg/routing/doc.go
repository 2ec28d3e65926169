// Package routing holds the routing table: to which services a path is routed, which
// requests may be retried, and how many shards an answer needs. A table is one published
// version and is immutable.
package routing
