package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line. Reading a log with a longer line
// fails.
const maxLineBytes = 1 << 20

// Line is one log record that names the request.
type Line struct {
	Instance string         `json:"instance"`
	Message  string         `json:"msg"`
	Fields   map[string]any `json:"fields"` // all other keys of the record, unchanged
}

// ReadLines returns the records of a log that name the request, in the order of the log.
// Text in front of a record on the same line and lines without a record are skipped.
func ReadLines(r io.Reader, requestID string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		recordStart := bytes.IndexByte(text, '{')
		if recordStart < 0 || !bytes.Contains(text, []byte(requestID)) {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal(text[recordStart:], &fields); err != nil || fields["request_id"] != requestID {
			continue
		}
		line := Line{Fields: fields}
		line.Instance, _ = fields["instance"].(string)
		line.Message, _ = fields["msg"].(string)
		for _, key := range []string{"instance", "msg", "request_id"} {
			delete(fields, key)
		}
		lines = append(lines, line)
	}
	return lines, eris.Wrap(scanner.Err(), "read log")
}

func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func (l Line) flag(name string) bool {
	b, _ := l.Fields[name].(bool)
	return b
}

func (l Line) list(name string) []any {
	items, _ := l.Fields[name].([]any)
	return items
}
