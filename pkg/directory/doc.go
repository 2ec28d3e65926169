// Package directory holds the backend servers that the platform lists for each service.
// It decides how long a server that drains or is no longer listed may still be used.
package directory
