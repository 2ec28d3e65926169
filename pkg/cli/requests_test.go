package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeInstance issues tickets and lets a test decide each reply to a
// submission. Its fields are used by one request at a time.
type fakeInstance struct {
	tickets int
	seen    []string // ticket of each submission
	reply   func(attempt int, w http.ResponseWriter)
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer secret" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/tickets") {
		f.tickets++
		_ = json.NewEncoder(w).Encode(map[string]any{"ticket": "T1"})
		return
	}
	f.seen = append(f.seen, r.Header.Get(ticketHeader))
	f.reply(len(f.seen), w)
}

const (
	ranReply     = `{"run":"run","result":{"receipt":9}}`
	busyReply    = `{"refused":true,"run":"not-run","reason":{"kind":"shortage","shortage":"slots"},"retry_after_ms":700}`
	invalidReply = `{"refused":true,"run":"not-run","reason":{"kind":"invalid","detail":"unknown caller"}}`
	unknownReply = `{"refused":true,"run":"unknown","reason":{"kind":"invalid","detail":"issuer gone"}}`
)

// cut closes the connection without a reply.
func cut(w http.ResponseWriter) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

func answer(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// submit runs the command against the instance without waiting between
// attempts, and returns the waits it would have made.
func submit(t *testing.T, f *fakeInstance) (out string, waits []time.Duration, err error) {
	t.Helper()
	server := httptest.NewServer(f)
	defer server.Close()
	var buffer bytes.Buffer
	c := &submitCommand{Streams: Streams{Out: &buffer}, Key: "licence-7", Attempts: 3}
	c.Instance, c.Timeout = server.URL, 10*time.Second
	c.Team, c.Service, c.Token = "office", "fee-ledger", "secret"
	c.Args.Payload = `{"fee": 40}`
	c.wait = func(_ context.Context, d time.Duration) error {
		waits = append(waits, d)
		return nil
	}
	err = c.Execute(nil)
	return buffer.String(), waits, err
}

// Guards against a second ticket for a submission that may have run: a lost
// reply is followed by the same ticket only.
func TestSubmitResendsSameTicket(t *testing.T) {
	f := &fakeInstance{reply: func(attempt int, w http.ResponseWriter) {
		switch attempt {
		case 1:
			cut(w)
		case 2:
			answer(w, http.StatusServiceUnavailable, busyReply)
		default:
			answer(w, http.StatusOK, ranReply)
		}
	}}
	out, waits, err := submit(t, f)
	assert.NilError(t, err)
	assert.Equal(t, out, "run: {\"receipt\":9}\n")
	assert.Equal(t, f.tickets, 1)
	assert.DeepEqual(t, f.seen, []string{"T1", "T1", "T1"})
	assert.DeepEqual(t, waits, []time.Duration{firstResendWait, 700 * time.Millisecond})
}

// Guards against calling a submission not run when its outcome is unknown, and
// against resending what can't succeed.
func TestSubmitStatesOutcome(t *testing.T) {
	for _, c := range []struct {
		name     string
		reply    func(int, http.ResponseWriter)
		attempts int
		want     string
	}{
		{"no reply", func(_ int, w http.ResponseWriter) { cut(w) }, 3, "outcome unknown; resend with --ticket T1"},
		{"unknown", func(_ int, w http.ResponseWriter) { answer(w, http.StatusGone, unknownReply) }, 1, "outcome unknown"},
		{"not run", func(_ int, w http.ResponseWriter) { answer(w, http.StatusServiceUnavailable, busyReply) }, 3, "not run: "},
		{"no reply, then not run", func(attempt int, w http.ResponseWriter) {
			if attempt == 1 {
				cut(w)
				return
			}
			answer(w, http.StatusUnauthorized, invalidReply)
		}, 2, "outcome unknown"},
		{"no refusal", func(_ int, w http.ResponseWriter) { answer(w, http.StatusBadGateway, "?") }, 3, "outcome unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeInstance{reply: c.reply}
			_, _, err := submit(t, f)
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, len(f.seen), c.attempts)
			assert.Equal(t, f.tickets, 1)
		})
	}
}

// Guards against a partial answer that reads like a complete one.
func TestSearchShowsCoverage(t *testing.T) {
	const body = `{"hits":[{"key":"p1","score":0.5,"document":"d"}],"coverage":{"documents":19,"documents_total":20,
		"missing":[{"shard":3,"from":"a","to":"b","documents":1,"reason":"lost"}]}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, body) }))
	defer server.Close()
	t.Setenv("SYCAMORELIFT_TOKEN", "secret")
	args := []string{"search", "--instance", server.URL, "--team", "office", "--service", "renewal-search", "smith"}
	out := runOK(t, args...)
	assert.Assert(t, strings.Contains(out, "PARTIAL: 19 of 20 documents\nmissing shard 3"), out)
	assert.Assert(t, json.Valid([]byte(runOK(t, append(args, "--output", "json")...))))
}
