// Package backend is the HTTP/1.1 client for backend servers. A Pool holds this
// instance's connections to one backend server, within the instance's quota.
//
// The pool uses net.Conn directly instead of net/http's Transport, for three
// reasons: the quota is a strict limit on open connections that changes at run
// time, the send guard has to run immediately before the first byte is written,
// and the Transport replays requests by its own rules. Requests and replies are still encoded
// and parsed by net/http. An idle connection costs no goroutine.
package backend
