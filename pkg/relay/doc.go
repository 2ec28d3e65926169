// Package relay assembles an instance that forwards opaque requests. The follower of the
// platform's store, the gateway for callers, the engine and the listeners run under one
// supervisor.
package relay
