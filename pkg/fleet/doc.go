// Package fleet runs a whole deployment inside one process over loopback
// sockets: the simulated platform, a number of instances and their callers. The
// demo and experiment commands and end-to-end tests build on it.
package fleet
