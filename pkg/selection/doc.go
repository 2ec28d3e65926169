// Package selection chooses replicas at the entry instance and limits the extra
// load of hedges and retries. It relies on this instance's own observations,
// because the health and load endpoints of the platform are late and
// inaccurate.
package selection
