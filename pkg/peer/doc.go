// Package peer is the transport between instances. Calls with a single reply use
// twirp; a search is answered with a stream of length-delimited protobuf frames.
// Both are served by one HTTP/2 listener.
package peer
