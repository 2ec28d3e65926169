// Package peer carries messages between instances: twirp for single replies
// and a stream of length-delimited protobuf frames for searches, both over one
// HTTP/2 listener.
package peer
