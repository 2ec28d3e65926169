package standin

import (
	"bytes"
	"encoding/json"
)

// Headers of the backend server protocol.
const (
	HeaderRequest     = "Sycamorelift-Request"
	HeaderAttempt     = "Sycamorelift-Attempt"
	HeaderShard       = "Sycamorelift-Shard"
	HeaderSnapshot    = "Sycamorelift-Snapshot"
	HeaderTimeoutMs   = "Sycamorelift-Timeout-Ms"
	HeaderOperation   = "Sycamorelift-Operation"
	HeaderIncarnation = "Sycamorelift-Incarnation"
	HeaderSnapshots   = "Sycamorelift-Snapshots"
	HeaderDraining    = "Sycamorelift-Draining"
)

type searchBody struct {
	Query string `json:"query"`
	Limit int    `json:"limit"`
}

// searchReplyHead is a search reply without its hits, which are appended in
// encoded form.
type searchReplyHead struct {
	Request   string `json:"request"`
	Attempt   int64  `json:"attempt"`
	Shard     int    `json:"shard"`
	Snapshot  int64  `json:"snapshot"`
	From      string `json:"from"`
	To        string `json:"to"`
	Documents int64  `json:"documents"`
	Complete  bool   `json:"complete"`
}

type submitBody struct {
	Key     string          `json:"key"`
	Payload json.RawMessage `json:"payload"` // any JSON value
}

// payloadText returns the payload under which an execution is counted: the
// text of a JSON string, else the JSON without insignificant spaces.
func (b submitBody) payloadText() string {
	var text string
	if json.Unmarshal(b.Payload, &text) == nil {
		return text
	}
	var compact bytes.Buffer
	if json.Compact(&compact, b.Payload) != nil {
		return string(b.Payload)
	}
	return compact.String()
}

type submitReply struct {
	Request   string `json:"request"`
	Attempt   int64  `json:"attempt"`
	Operation string `json:"operation"`
	Result    string `json:"result"`
	Run       bool   `json:"run"`
}

type refusalReply struct {
	NotRun bool    `json:"not_run"`
	Reason refusal `json:"reason"`
	Detail string  `json:"detail,omitempty"`
}

type errorReply struct {
	Error string `json:"error"`
}

type healthReply struct {
	Status string  `json:"status"`
	Load   float64 `json:"load"` // busy slots divided by slots, seconds ago
}
