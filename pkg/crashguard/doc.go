// Package crashguard finds requests that crash backend servers and quarantines
// them. Such a request crashes every server that runs it, and its caller retries
// it, so without a quarantine it takes down one replica after another.
//
// When a backend server crashes, the requests that were in flight on it become
// suspects. A crash does not count when a correlated loss explains it: another
// backend server of the same zone that was lost within CorrelationWindow and was
// not running the request. Crashes in one zone within that window count once.
//
// A request that succeeds does not crash servers, so its crashes are forgotten.
// Instances report such successes to each other. Without these reports, an
// instance cannot tell a crashing request from another request that was in flight
// on every server that it crashed.
package crashguard
