// Package backend is the HTTP/1.1 client to backend servers. One Pool holds the
// connections to one backend server within this instance's quota.
//
// The pool is written on net.Conn rather than on net/http's Transport: the
// quota is a strict limit on open connections that changes at run time, the
// send guard has to run immediately before the first byte, and the Transport
// replays requests by its own rules. Requests and replies are still encoded
// and parsed by net/http. An idle connection costs no goroutine.
package backend
