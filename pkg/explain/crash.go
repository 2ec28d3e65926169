package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Crash is an instance that has started again without having stopped. Requests that
// it had in progress have no line.
type Crash struct {
	Instance     string `json:"instance"`
	StartedAt    string `json:"started_at"` // the next run, by the instance's own clock
	LastRecordAt string `json:"last_record_at"`
}

// Crashes returns the crashes in a log, which may hold the lines of several instances.
func Crashes(r io.Reader) ([]Crash, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	running, last := map[string]bool{}, map[string]string{}
	var crashes []Crash
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var record struct {
			Time     string `json:"time"`
			Message  string `json:"msg"`
			Instance string `json:"instance"`
		}
		// Text that is no record, such as the output of another program, is passed over.
		if err := json.Unmarshal(text[start:], &record); err != nil || record.Instance == "" {
			continue
		}
		switch record.Message {
		case "started":
			if running[record.Instance] {
				crashes = append(crashes, Crash{Instance: record.Instance, StartedAt: record.Time, LastRecordAt: last[record.Instance]})
			}
			running[record.Instance] = true
		case "stopped":
			running[record.Instance] = false
		}
		last[record.Instance] = record.Time
	}
	return crashes, eris.Wrap(scanner.Err(), "read log")
}

// WithCrashes adds the crashes that may be why no line names the request.
func (e Explanation) WithCrashes(crashes []Crash) Explanation {
	if e.Found || len(crashes) == 0 {
		return e
	}
	e.Crashes = crashes
	var texts []string
	for _, c := range crashes {
		texts = append(texts, c.Instance+" after "+c.LastRecordAt+" (started again at "+c.StartedAt+")")
	}
	e.Cause += "; instances that ended without a stop: " + strings.Join(texts, ", ")
	return e
}
