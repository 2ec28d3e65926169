package fleet

import "encoding/json"

type searchBody struct {
	Query string `json:"query"`
	Limit int    `json:"limit"`
}

type ticketBody struct {
	Key string `json:"key"`
}

type ticketReply struct {
	Ticket      string `json:"ticket"`
	ExpiresInMs int64  `json:"expires_in_ms"`
	Issuer      string `json:"issuer"`
}

type submitBody struct {
	Key     string `json:"key"`
	Payload string `json:"payload"`
}

type submitReply struct {
	RequestID string          `json:"request_id"`
	Run       string          `json:"run"`
	Result    json.RawMessage `json:"result"`
	Replayed  bool            `json:"replayed"`
}

// text returns the result, which simulated backend servers state as a string.
func (r submitReply) text() string {
	var text string
	if json.Unmarshal(r.Result, &text) == nil {
		return text
	}
	return string(r.Result)
}
