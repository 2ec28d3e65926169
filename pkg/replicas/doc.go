// Package replicas holds what this instance has seen of each backend server and
// chooses among the replicas of a shard by it. It relies on replies to requests
// alone, because health checks and the platform's list are late or false.
package replicas
