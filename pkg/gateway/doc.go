// Package gateway is the side of an instance that callers see: it reads their
// requests, finds the route and writes the one answer.
package gateway
