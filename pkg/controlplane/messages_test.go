package controlplane

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestRejectionIsLoggedOnce guards against one record per copy of a rejected
// document, which hides other errors.
func TestRejectionIsLoggedOnce(t *testing.T) {
	now := time.Unix(0, 0)
	var log bytes.Buffer
	s := testStore(&now, slog.New(slog.NewTextHandler(&log, nil)))
	for range 3 {
		_, err := s.Accept(Document{Key: KeyBundle, Revision: 7, Data: []byte("bad")})
		var rejected *RejectedError
		if !errors.As(err, &rejected) {
			t.Fatal(err)
		}
	}
	_, _ = s.Accept(Document{Key: KeyBundle, Revision: 8, Data: []byte("worse")})
	if n := strings.Count(log.String(), "control document rejected"); n != 2 {
		t.Errorf("%d records for 2 documents in\n%s", n, log.String())
	}
}

// TestStartNamesTheFault guards against messages that send an operator to look
// for a bundle that is there but rejected, or for a revision 0.
func TestStartNamesTheFault(t *testing.T) {
	net := newSimNetwork(1, 1, 1)
	p := net.instances[0].plane
	var log bytes.Buffer
	p.log = slog.New(slog.NewTextHandler(&log, nil))
	net.service.publish(KeyBundle, []byte("unsigned"))
	_, err := p.bootstrapStep(context.Background(), 1)
	var rejected *RejectedError
	if !errors.As(err, &rejected) || rejected.Key != KeyBundle || !errors.Is(err, errBadBundle) {
		t.Errorf("got %v", err)
	}
	if _, again := p.bootstrapStep(context.Background(), 2); !errors.As(again, &rejected) {
		t.Errorf("then %v", again)
	}
	net.service.down = true
	p.RefreshManifest(context.Background(), "office", "renewal-search")
	if strings.Contains(log.String(), "revision=0") || !strings.Contains(log.String(), "control document not read") {
		t.Errorf("log is\n%s", log.String())
	}
}
