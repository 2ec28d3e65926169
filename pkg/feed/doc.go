// Package feed keeps each instance up to date with what the platform publishes: the
// table of routes and the list of backend servers. The platform's store is read-only for
// the instances, can be unavailable, slow or behind, and discards old changes.
package feed
