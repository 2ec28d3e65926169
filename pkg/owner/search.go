package owner

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

// Emit sends one frame to the entry instance. An error ends the search.
type Emit func(*peerpb.SearchFrame) error

// shardReply is the result of one attempt and its hits.
type shardReply struct {
	result *peerpb.ShardResult
	hits   []*peerpb.Hit
}

// Search runs the attempts of one request and emits each result when its attempt
// ends.
// The first frame has no results: it tells the entry instance that the owner
// has accepted the request. The last frame has Last set.
func (o *Owner) Search(ctx context.Context, request *peerpb.SearchRequest, emit Emit) error {
	ctx = telemetry.WithRequestID(ctx, request.RequestId)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeoutMs)*time.Millisecond)
	defer cancel()
	first := &peerpb.SearchFrame{RequestId: request.RequestId, Sender: o.config.Control.Sender()}
	if err := emit(first); err != nil {
		return err
	}
	replies := o.startAttempts(ctx, request)
	return o.collect(request, replies, emit)
}

// startAttempts runs each attempt in its own goroutine. The channel holds all replies,
// so that no goroutine blocks when the entry instance no longer reads them.
func (o *Owner) startAttempts(ctx context.Context, request *peerpb.SearchRequest) <-chan shardReply {
	replies := make(chan shardReply, len(request.Attempts))
	arrival := o.config.Now().Add(-time.Duration(request.AgeUs) * time.Microsecond)
	deadline := o.config.Now().Add(time.Duration(request.TimeoutMs) * time.Millisecond)
	for _, attempt := range request.Attempts {
		a := &attemptRun{owner: o, request: request, attempt: attempt, arrival: arrival, deadline: deadline}
		go func() { replies <- a.run(ctx) }()
	}
	return replies
}

// collect emits the replies. Replies that are available at the same time share
// a frame.
func (o *Owner) collect(request *peerpb.SearchRequest, replies <-chan shardReply, emit Emit) error {
	for pending := len(request.Attempts); pending > 0; {
		frame := &peerpb.SearchFrame{RequestId: request.RequestId}
		pending -= fillFrame(frame, replies, pending)
		mergeHits(frame, int(request.Limit))
		frame.Last = pending == 0
		if err := emit(frame); err != nil {
			return err
		}
	}
	return nil
}

// fillFrame waits for one reply, adds it and all further replies that are available
// to the frame, and returns how many it has added.
func fillFrame(frame *peerpb.SearchFrame, replies <-chan shardReply, pending int) int {
	addReply(frame, <-replies)
	for n := 1; n < pending; n++ {
		select {
		case reply := <-replies:
			addReply(frame, reply)
		default:
			return n
		}
	}
	return pending
}

func addReply(frame *peerpb.SearchFrame, reply shardReply) {
	frame.Results = append(frame.Results, reply.result)
	frame.Hits = append(frame.Hits, reply.hits...)
}
