// Package telemetry provides the logs, metrics and traces of one instance. Each
// object belongs to one instance. Several instances in one process share only the
// expvar map under which their metrics are published.
package telemetry
