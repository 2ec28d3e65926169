package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Crash records that an instance started again without a log record of an orderly
// stop. The log holds no final record of the requests that were in progress then.
type Crash struct {
	Instance     string `json:"instance"`
	StartedAt    string `json:"started_at"`     // start of the next run, by the instance's own clock
	LastRecordAt string `json:"last_record_at"` // last log record before that start
}

// ReadCrashes returns the crashes that a log shows. The log may hold records of several
// instances.
func ReadCrashes(r io.Reader) ([]Crash, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	running, lastRecordAt := map[string]bool{}, map[string]string{}
	var crashes []Crash
	for scanner.Scan() {
		line := scanner.Bytes()
		recordStart := bytes.IndexByte(line, '{')
		if recordStart < 0 {
			continue
		}
		var record struct {
			Time     string `json:"time"`
			Message  string `json:"msg"`
			Instance string `json:"instance"`
		}
		// Skip lines that are not log records, such as the output of another program.
		if err := json.Unmarshal(line[recordStart:], &record); err != nil || record.Instance == "" {
			continue
		}
		switch record.Message {
		case "started":
			if running[record.Instance] {
				crashes = append(crashes, Crash{Instance: record.Instance, StartedAt: record.Time, LastRecordAt: lastRecordAt[record.Instance]})
			}
			running[record.Instance] = true
		case "stopped":
			running[record.Instance] = false
		}
		lastRecordAt[record.Instance] = record.Time
	}
	return crashes, eris.Wrap(scanner.Err(), "read log")
}

// WithCrashes returns e with the crashes that may explain why no log record names the
// request. An explanation that is based on log records stays unchanged.
func (e Explanation) WithCrashes(crashes []Crash) Explanation {
	if e.Found || len(crashes) == 0 {
		return e
	}
	e.Crashes = crashes
	var descriptions []string
	for _, c := range crashes {
		descriptions = append(descriptions, c.Instance+" after "+c.LastRecordAt+" (started again at "+c.StartedAt+")")
	}
	e.Cause += "; instances that ended without a stop: " + strings.Join(descriptions, ", ")
	return e
}
