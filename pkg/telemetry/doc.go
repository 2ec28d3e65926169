// Package telemetry provides logs, metrics and traces of one instance. Every
// object belongs to one instance; nothing is shared between several instances
// in one process except the common root of the published metrics.
package telemetry
