// Package replicas tracks the health, latency and load of each backend server as
// this instance observes them, and chooses the replica of a shard for each attempt.
// The observations come only from the replies to requests: health checks and the
// platform's server list can be late or wrong.
package replicas
