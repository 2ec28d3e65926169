package controlplane

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestHealthIsReportedOnce guards against an operator who does not learn that
// the configuration service is gone or that decisions use unconfirmed
// documents, and against a record for every call while it lasts.
func TestHealthIsReportedOnce(t *testing.T) {
	net := newSimNetwork(1, 1, 1)
	net.advance(5 * time.Second)
	p := net.instances[0].plane
	var log bytes.Buffer
	counts := map[string]int64{}
	p.log = slog.New(slog.NewTextHandler(&log, nil))
	p.count = func(name string, n int64) { counts[name] += n }
	expect := func(level, message string, n int) {
		t.Helper()
		if got := strings.Count(log.String(), "level="+level+" msg=\""+message); got != n {
			t.Fatalf("%d times %q, want %d, in\n%s", got, message, n, log.String())
		}
	}
	for round := 1; round <= 2; round++ {
		net.service.down = true
		net.advance(10 * time.Second)
		for range 5 {
			if !p.EnsureFresh(context.Background()) {
				t.Fatal("fresh without the service and without peers")
			}
		}
		expect("WARN", "configuration service does not answer", round)
		expect("WARN", "decisions use control documents that nobody confirms", round)
		expect("INFO", "configuration service answers again", round-1)
		net.service.down = false
		net.advance(10 * time.Second)
		expect("INFO", "configuration service answers again", round)
		expect("INFO", "control documents are confirmed again", round)
	}
	if counts[CounterServiceLost] != 2 || counts[CounterUnconfirmed] != 2 {
		t.Errorf("counted %v", counts)
	}
}
