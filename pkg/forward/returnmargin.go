package forward

import "time"

const (
	// ownProcessorTime is the processor time that an instance needs for a request before it
	// notices its arrival and after the cutoff: to accept and read, to merge and to write.
	ownProcessorTime = 2 * time.Millisecond
	// minOwnWork and maxOwnWork bound the time that this takes. Instances with much processor
	// time still wait for their turn, and at weak ones the answer must keep time for its parts.
	minOwnWork = 6 * time.Millisecond
	maxOwnWork = 12 * time.Millisecond
	// returnMarginShare is the share of the target that is kept if the network time of the
	// caller is unknown, at least minReturnMargin.
	returnMarginShare = 0.1
	minReturnMargin   = 12 * time.Millisecond
)

// ownWorkTime returns how long the work of an instance with the given processor time, in cores,
// takes for one request beside the wait for backend servers.
func ownWorkTime(cores float64) time.Duration {
	if cores <= 0 {
		return maxOwnWork
	}
	return min(max(time.Duration(float64(ownProcessorTime)/cores), minOwnWork), maxOwnWork)
}

// returnMargin returns how long before the target, counted from the arrival of the request, its
// answer has to go out. The target counts from the caller's first packet to the end of the
// answer: an answer that goes out a few milliseconds too late at the cutoff is worth little.
func returnMargin(request *Request, target, ownWork time.Duration) time.Duration {
	if request.NetworkTime > 0 {
		return request.NetworkTime + ownWork
	}
	return max(time.Duration(returnMarginShare*float64(target)), minReturnMargin)
}
