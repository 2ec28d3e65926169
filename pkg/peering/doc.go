// Package peering is how instances that forward opaque requests find and help
// each other: who is running, messages between them, and the parts of sharded
// answers that an instance in another availability zone gathers there.
package peering
