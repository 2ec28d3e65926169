package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
)

const (
	// requestOverhead is what a request holds besides its body: header and buffers.
	requestOverhead = 8 << 10
	// bodyStep is how much room a body without a stated length gets at first.
	bodyStep = 4 << 10
	// memoryRetryAfter is the pause after the bound on bytes was reached. A request in
	// progress ends within about this time.
	memoryRetryAfter = 150 * time.Millisecond
)

// readBody reads the whole body before the request is forwarded. The request can
// then be sent again, and a slow caller does not occupy a backend server. The body is counted
// in the lease before it is read, and held once.
func readBody(r *http.Request, limits routing.Limits, lease *shedding.Lease) ([]byte, *forward.Refusal) {
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, &forward.Refusal{Reason: forward.BodyTooLarge, NotRun: true}
	}
	if !lease.Grow(requestOverhead + max(r.ContentLength, 0)) {
		return nil, &forward.Refusal{Reason: forward.NoMemory, NotRun: true, RetryAfter: memoryRetryAfter}
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	var body []byte
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		var full bool
		body, full, err = readUnknownLength(r.Body, limit, lease)
		if full {
			return nil, &forward.Refusal{Reason: forward.NoMemory, NotRun: true, RetryAfter: memoryRetryAfter}
		}
	}
	switch {
	case err != nil && r.Context().Err() != nil:
		return nil, &forward.Refusal{Reason: forward.CallerLeft, NotRun: true, Detail: err.Error()}
	case err != nil:
		return nil, &forward.Refusal{Reason: forward.BadRequest, NotRun: true, Detail: err.Error()}
	case int64(len(body)) > limit:
		return nil, &forward.Refusal{Reason: forward.BodyTooLarge, NotRun: true}
	}
	return body, nil
}

// readUnknownLength reads at most limit+1 bytes. Full is set if the lease cannot grow. While the
// room is doubled the old one is held too, so each step counts the whole new one.
func readUnknownLength(from io.Reader, limit int64, lease *shedding.Lease) (body []byte, full bool, err error) {
	for {
		if len(body) == cap(body) {
			room := min(max(2*int64(cap(body)), bodyStep), limit+1)
			if !lease.Grow(room) {
				return nil, true, nil
			}
			body = append(make([]byte, 0, room), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF || int64(len(body)) > limit:
			return body, false, nil
		case err != nil:
			return nil, false, err
		}
	}
}
