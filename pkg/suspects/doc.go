// Package suspects recognises requests that crash backend servers, and quarantines them.
//
// A request is suspected when the connection to a server is lost while the server runs it.
// Each run of a server counts once, whether its attempt ran alone or beside others and
// whichever instance observed the loss. MaxLosses losses without any reply quarantine the
// request for QuarantineTime. A reply to the request clears it and shields it for a while, and
// a server that soon answers another request has not crashed. An instance whose history does not
// reach back for QuarantineTime, since all instances were lost, may quarantine after one loss.
//
// Package crashguard serves requests that callers repeat with the same content and that
// instances therefore know to succeed. Here almost every request is new, so a request is
// judged by its own attempts alone: others that were in flight on a crashed server are
// cleared by their next attempt.
package suspects
