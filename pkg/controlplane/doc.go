// Package controlplane distributes the control documents (bundle, members, index
// manifests) to all instances. A few readers per availability zone watch the
// configuration service. All instances exchange document versions with each other
// and keep the highest version of each document. EnsureFresh makes a process that
// was paused refresh its documents before it uses them for a decision.
//
// The package opens no connections: the clients of the configuration service and
// of the peers, the clock and the random source are passed in.
package controlplane
