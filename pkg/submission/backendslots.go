package submission

import (
	"context"
	"time"
)

// BackendSlots grants slots of backend servers from the owner's queues.
type BackendSlots interface {
	// Acquire waits for a slot of the backend server and sends nothing to it.
	Acquire(ctx context.Context, request SlotRequest) (Slot, error)
}

// Slot is the right to send one submission to one backend server.
type Slot interface {
	// Submit sends the submission on a fresh connection, at most once. It calls
	// guard.Send immediately before writing the first byte, and writes nothing
	// when that returns false. After an error other than *AttemptError it is
	// unknown whether the submission ran.
	Submit(ctx context.Context, call Call, guard SendGuard) (result []byte, err error)
	// Release frees the slot. It must be called exactly once, after Submit.
	Release()
}

// SendGuard decides whether a submission may be sent.
type SendGuard interface {
	// Send records that the submission may have been sent. It returns false if
	// the submission must not be sent.
	Send() bool
}

// SlotRequest describes the slot that an attempt needs.
type SlotRequest struct {
	ServerID    string
	Priority    int       // 0 is served first
	Arrival     time.Time // when the issuer received the submission
	Deadline    time.Time
	Slots       int // limit on concurrent requests to a backend server, over all instances
	Connections int // limit on connections to a backend server, over all instances
}

// Call is one submission to a backend server.
type Call struct {
	RequestID string
	Operation string // the ticket's id, the same in all attempts
	Attempt   int32  // counts from 1 within one redemption
	Shard     int32
	Key       string
	Payload   []byte
}
