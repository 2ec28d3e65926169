// Package crashguard finds requests that crash backend servers and quarantines
// them. A poison request crashes every server that runs it and its caller
// retries it, so it would take down one replica after the other.
//
// A crash incriminates the requests that were in flight on the server. It
// counts only when it is not explained by a correlated loss: another server of
// the same zone that was lost within CorrelationWindow and was not running the
// request. Crashes of one zone within that window count once. A request that
// succeeds is not poison, and its crashes are forgotten; instances tell each other
// of such successes, because a request that was in flight on every server that a
// poison request took down looks the same to those that have not seen it succeed.
package crashguard
