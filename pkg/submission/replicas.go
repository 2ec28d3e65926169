package submission

import (
	"context"
	"time"
)

// Replicas gives access to the backend servers through the owner's queues.
type Replicas interface {
	// Acquire waits for a slot of the backend server. Nothing is sent by it.
	Acquire(ctx context.Context, attempt Attempt) (Slot, error)
}

// Slot is the right to send one submission to one backend server.
type Slot interface {
	// Submit sends the submission on a fresh connection, at most once. It calls
	// guard.Send right before the first byte and sends nothing when that
	// returns false. An error other than *AttemptError leaves it unknown
	// whether the submission ran.
	Submit(ctx context.Context, call Call, guard SendGuard) (result []byte, err error)
	// Release returns the slot. It is called once, after Submit.
	Release()
}

// SendGuard records that a submission may have been sent.
type SendGuard interface {
	Send() bool
}

// Attempt describes the slot that an attempt needs.
type Attempt struct {
	ServerID    string
	Priority    int       // 0 is served first
	Arrival     time.Time // at the issuer
	Deadline    time.Time
	Slots       int // concurrent requests per backend server, all instances together
	Connections int
}

// Call is one submission to a backend server.
type Call struct {
	RequestID string
	Operation string // the ticket's id, equal in all attempts
	Attempt   int32  // unique per redemption
	Shard     int32
	Key       string
	Payload   []byte
}
