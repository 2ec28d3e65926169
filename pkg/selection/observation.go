package selection

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Observation is the outcome of one attempt, seen by the entry instance.
// Status is RESULT_STATUS_UNSPECIFIED for an attempt that was cancelled, for
// example because its hedge was faster; Latency is then the time until the
// cancellation, which its latency would have exceeded.
type Observation struct {
	ServerID string
	Service  string        // TEAM/SERVICE or any other key used with the Selector
	Latency  time.Duration // from sending to the result
	Queue    time.Duration // part of Latency spent in the owner's queue
	Status   peerpb.ResultStatus
}

// effect is what an observation tells about the backend server.
type effect int

const (
	effectNone    effect = iota // refused without running; says nothing about the replica
	effectOK                    // full sample of latency
	effectAtLeast               // latency is a lower bound
	effectFailed                // the replica failed
	effectShed                  // the replica or its owner is overloaded
)

func (o Observation) effect() effect {
	switch o.Status {
	case peerpb.ResultStatus_OK:
		return effectOK
	case peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED, peerpb.ResultStatus_DEADLINE:
		return effectAtLeast
	case peerpb.ResultStatus_CRASHED, peerpb.ResultStatus_UNREACHABLE,
		peerpb.ResultStatus_INVALID_REPLY, peerpb.ResultStatus_COLD:
		return effectFailed
	case peerpb.ResultStatus_SHED:
		return effectShed
	default:
		return effectNone
	}
}

func (o Observation) serviceTime() time.Duration {
	return max(o.Latency-o.Queue, 0)
}
