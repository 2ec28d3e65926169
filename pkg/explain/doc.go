// Package explain determines from the logs of one or more instances why a
// request ended as it did.
package explain
