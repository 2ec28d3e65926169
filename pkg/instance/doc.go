// Package instance assembles one instance of the system: listeners, control
// plane, entry and owner roles, supervised by suture.
package instance
