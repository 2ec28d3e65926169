// Package lifecycle starts and stops the service of an instance without
// interrupting a request. It holds the phases and the count of requests in
// flight; listeners and their shutdown belong to the caller.
package lifecycle
