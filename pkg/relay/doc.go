// Package relay assembles an instance that forwards opaque requests: the
// follower of the platform's store, the gateway for callers, the engine and the
// listeners, under one supervisor.
package relay
