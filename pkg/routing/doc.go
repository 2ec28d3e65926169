// Package routing holds the table that requests are forwarded by: which
// services a path leads to, what may be repeated, and how complete an answer
// must be. A table is one published version and never changes.
package routing
