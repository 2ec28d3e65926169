// Package lifecycle starts and stops the service of an instance without
// interrupting requests. It holds the state of the instance and counts the
// requests in flight. The caller opens and closes the listeners.
package lifecycle
