// Package directory holds the backend servers that the platform lists, by
// service, and judges how far an entry of that list may still be used.
package directory
