// Package ticket issues submission tickets and redeems each at most once.
//
// A ticket is issued by one incarnation of one instance and authenticated with
// a key that exists only in that process, so that no other process, and no
// later incarnation, can redeem it. The first redemption runs the submission;
// concurrent and later ones get its outcome. The memory that a redemption needs
// is reserved when the ticket is issued, so that a redemption is never refused
// for lack of memory: the ledger could not record such a refusal, and a duplicate
// of the refused message could run after the caller was told "not run".
package ticket
