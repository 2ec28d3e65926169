package standin

import (
	"net/http"
	"strconv"
	"time"
)

// adminParams reads the parameters of an admin request; a missing or malformed
// one takes its default.
type adminParams struct{ request *http.Request }

type adminDone struct {
	Done bool `json:"done"`
}

func (p adminParams) text(name string) string {
	return p.request.URL.Query().Get(name)
}

func (p adminParams) flag(name string) bool {
	on, err := strconv.ParseBool(p.text(name))
	return err != nil || on
}

func (p adminParams) float(name string, fallback float64) float64 {
	if value, err := strconv.ParseFloat(p.text(name), 64); err == nil {
		return value
	}
	return fallback
}

func (p adminParams) integer(name string) int64 {
	value, _ := strconv.ParseInt(p.text(name), 10, 64)
	return value
}

func (p adminParams) duration(name string, fallback time.Duration) time.Duration {
	if value, err := time.ParseDuration(p.text(name)); err == nil {
		return value
	}
	return fallback
}

func (p adminParams) replyFault() *ReplyFault {
	kind := ReplyFaultKind(p.text("kind"))
	if kind == "" {
		return nil
	}
	return &ReplyFault{Kind: kind, Every: p.integer("every"), Delay: p.duration("delay", time.Second)}
}

func writeAdmin(writer http.ResponseWriter, value any, err error) {
	writer.Header().Set("Content-Type", "application/json")
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		value = errorReply{Error: err.Error()}
	}
	_, _ = writer.Write(mustJSON(value))
}
