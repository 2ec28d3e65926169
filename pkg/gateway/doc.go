// Package gateway is the HTTP front end of an instance: it reads callers' requests,
// matches them to a route, forwards them and writes exactly one answer to each.
package gateway
