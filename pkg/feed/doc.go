// Package feed follows what the platform publishes for all instances: the table
// of routes and the list of backend servers. The platform can only be read, may
// be away, slow or behind, and forgets its history.
package feed
