package forward

// Reason is why a request has no answer of a backend server. It names a rule of
// the table in force or a measured shortage.
type Reason string

// Reasons.
const (
	NoTable         Reason = "no-table"          // this instance has not learned a table yet
	NoRoute         Reason = "no-route"          // rule: no route matches
	BodyTooLarge    Reason = "body-too-large"    // rule: limit on bodies
	BadRequest      Reason = "bad-request"       // the request cannot be read
	NoServer        Reason = "no-backend-server" // shortage: no usable backend server
	ServersRefused  Reason = "servers-refused"   // shortage: every server asked had no room
	TooFewShards    Reason = "too-few-shards"    // shortage: fewer shards than the route requires
	TimedOut        Reason = "timed-out"         // the caller's time or the route's timeout has passed
	AnswerLost      Reason = "answer-lost"       // a server may have run the request; its answer is lost
	CallerLeft      Reason = "caller-left"       // the caller has closed its connection
	ViewUnconfirmed Reason = "view-unconfirmed"  // no route matches, in a table that may be old
)

// Reasons lists all reasons.
var Reasons = []Reason{
	NoTable, NoRoute, BodyTooLarge, BadRequest, NoServer, ServersRefused, TooFewShards,
	TimedOut, AnswerLost, CallerLeft, ViewUnconfirmed,
}
