package controlplane

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestHealthIsReportedOnce guards against a loss of the configuration service or
// decisions on unconfirmed documents that are not logged and counted, and against
// one log record per call while such a state lasts.
func TestHealthIsReportedOnce(t *testing.T) {
	net := newSimNetwork(1, 1, 1)
	net.advance(5 * time.Second)
	p := net.instances[0].plane
	var log bytes.Buffer
	counts := map[string]int64{}
	p.log = slog.New(slog.NewTextHandler(&log, nil))
	p.count = func(name string, n int64) { counts[name] += n }
	expectRecords := func(level, message string, want int) {
		t.Helper()
		if got := strings.Count(log.String(), "level="+level+" msg=\""+message); got != want {
			t.Fatalf("message %q logged %d times, want %d, in\n%s", message, got, want, log.String())
		}
	}
	for round := 1; round <= 2; round++ {
		net.service.down = true
		net.advance(10 * time.Second)
		for range 5 {
			if !p.EnsureFresh(context.Background()) {
				t.Fatal("documents reported as fresh although neither the service nor a peer answers")
			}
		}
		expectRecords("WARN", "configuration service does not answer", round)
		expectRecords("WARN", "decisions use control documents that nobody confirms", round)
		expectRecords("INFO", "configuration service answers again", round-1)
		net.service.down = false
		net.advance(10 * time.Second)
		expectRecords("INFO", "configuration service answers again", round)
		expectRecords("INFO", "control documents are confirmed again", round)
	}
	if counts[CounterServiceLost] != 2 || counts[CounterUnconfirmed] != 2 {
		t.Errorf("counters are %v, want 2 for each of the two states", counts)
	}
}
