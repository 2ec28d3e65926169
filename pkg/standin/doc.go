// Package standin simulates the platform around the system: the configuration
// service, the backend servers and whole deployments of both, with faults that
// tests and tools switch on and off while requests run. Everything listens on
// loopback addresses.
package standin
