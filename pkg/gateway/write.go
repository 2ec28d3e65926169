package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// write sends an answer and returns its status.
func (g *Gateway) write(w http.ResponseWriter, id string, answer *forward.Answer) int {
	switch {
	case answer.Reply != nil:
		return g.writeReply(w, id, answer.Reply)
	case answer.Merged != nil:
		g.codec.SetMergedFields(w.Header(), answer.Merged)
		w.Header().Set("Content-Type", "application/octet-stream")
		return g.writeBody(w, id, http.StatusOK, answer.Merged.Body)
	default:
		return g.writeRefusal(w, id, answer.Refusal)
	}
}

// writeReply passes on a backend server's reply unchanged: a nil value keeps net/http
// from adding a Content-Type or Date of its own.
func (g *Gateway) writeReply(w http.ResponseWriter, id string, reply *forward.Reply) int {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil // net/http would guess it from the body
	}
	if _, stated := header["Date"]; !stated {
		header["Date"] = nil
	}
	return g.writeBody(w, id, reply.Status, reply.Body)
}

func (g *Gateway) writeBody(w http.ResponseWriter, id string, status int, body []byte) int {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	err := g.answers.Write(w, id, body)
	logWriteError(g.recorder.logger, id, err)
	return status
}

// writeRefusal sends a refusal with its reason as the body. Retry-After is set only
// when the request has not run and may be repeated.
func (g *Gateway) writeRefusal(w http.ResponseWriter, id string, refusal *forward.Refusal) int {
	status := refusalStatus(refusal)
	if refusal.RetryAfter > 0 && refusal.NotRun {
		w.Header().Set("Retry-After", formatSeconds(refusal.RetryAfter))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	return g.writeBody(w, id, status, []byte(string(refusal.Reason)+"\n"))
}

// refusalStatus returns the HTTP status of a refusal. 503 promises that no backend
// server has run the request; 502 and 504 make no such promise.
func refusalStatus(refusal *forward.Refusal) int {
	switch {
	case refusal.Reason == forward.NoRoute:
		return http.StatusNotFound
	case refusal.Reason == forward.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case refusal.Reason == forward.BadRequest:
		return http.StatusBadRequest
	case refusal.NotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == forward.TimedOut:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// formatSeconds formats a duration in seconds with three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
