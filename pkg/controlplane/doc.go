// Package controlplane spreads the control documents (bundle, members, index
// manifests) over all instances. A few readers per availability zone watch the
// configuration service; instances exchange document versions with each other
// and keep the highest of each. The freshness gate makes a process that was
// paused refresh its documents before it decides under them.
//
// The package opens no connections: service and peers are passed in, as are
// the clock and the randomness.
package controlplane
