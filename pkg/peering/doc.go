// Package peering connects the instances that forward opaque requests: it tracks which
// instances are running, carries messages between them, and lets an instance in another
// availability zone gather the parts of a sharded answer there.
package peering
