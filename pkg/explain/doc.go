// Package explain tells from the logs of several instances what decided a
// request.
package explain
