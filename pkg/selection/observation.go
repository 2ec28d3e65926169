package selection

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Observation is the outcome of one attempt as the entry instance observed it.
// Status is RESULT_STATUS_UNSPECIFIED for an attempt that was cancelled, for
// example because its hedge was faster. Latency is then the time until the
// cancellation, a lower bound of the latency.
type Observation struct {
	ServerID  string
	Service   string        // TEAM/SERVICE or any other key used with the Selector
	Latency   time.Duration // from sending to the result
	QueueTime time.Duration // part of Latency that was spent in the owner's queue
	Status    peerpb.ResultStatus
}

// effect says how an observation changes the state of the backend server.
type effect int

const (
	effectIgnored    effect = iota // refused without running; tells nothing about the replica
	effectOK                       // succeeded; its latency is a sample
	effectMinLatency               // did not finish; its latency is a lower bound
	effectFailed                   // the replica failed
	effectShed                     // the replica or its owner is overloaded
)

func (o Observation) effect() effect {
	switch o.Status {
	case peerpb.ResultStatus_OK:
		return effectOK
	case peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED, peerpb.ResultStatus_DEADLINE:
		return effectMinLatency
	case peerpb.ResultStatus_CRASHED, peerpb.ResultStatus_UNREACHABLE,
		peerpb.ResultStatus_INVALID_REPLY, peerpb.ResultStatus_COLD:
		return effectFailed
	case peerpb.ResultStatus_SHED:
		return effectShed
	default:
		return effectIgnored
	}
}

func (o Observation) serviceTime() time.Duration {
	return max(o.Latency-o.QueueTime, 0)
}
