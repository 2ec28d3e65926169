// Package submission runs requests that must not run twice. The Router works on
// the entry: it gets a ticket from the owner of a replica, and forwards each
// submission with a ticket to the instance that issued the ticket. The Issuer
// works on the owner: it runs the submission of a ticket at most once. The
// package opens no connections; it reaches other instances and backend servers
// through interfaces.
package submission
