// Package submission carries out requests that may not be repeated. The Router
// is the entry side: it gets a ticket from the owner of a replica and forwards
// a redemption to the issuer that the ticket names. The Issuer is the owner
// side: it runs the submission of a ticket at most once. The package opens no
// connection; other instances and backend servers are reached through
// interfaces.
package submission
