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

// TestRejectionIsLoggedOnce guards against one log record per copy of a rejected
// document. The same document arrives from several sources, and its repeated
// records would hide other errors.
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
		t.Errorf("%d log records for 2 rejected documents in\n%s", n, log.String())
	}
}

// TestBootstrapErrorNamesRejection guards against misleading messages: a bootstrap
// error that calls a bundle missing although it was found and rejected, or a log
// record with revision 0 for a document that was not read.
func TestBootstrapErrorNamesRejection(t *testing.T) {
	net := newSimNetwork(1, 1, 1)
	p := net.instances[0].plane
	var log bytes.Buffer
	p.log = slog.New(slog.NewTextHandler(&log, nil))
	net.service.publish(KeyBundle, []byte("unsigned"))
	_, err := p.bootstrapStep(context.Background(), 1)
	var rejected *RejectedError
	if !errors.As(err, &rejected) || rejected.Key != KeyBundle || !errors.Is(err, errBadBundle) {
		t.Errorf("first bootstrap: got %v, want a rejection of the bundle for its signature", err)
	}
	if _, secondErr := p.bootstrapStep(context.Background(), 2); !errors.As(secondErr, &rejected) {
		t.Errorf("second bootstrap: got %v, want a rejection", secondErr)
	}
	net.service.down = true
	p.RefreshManifest(context.Background(), "office", "renewal-search")
	if strings.Contains(log.String(), "revision=0") || !strings.Contains(log.String(), "control document not read") {
		t.Errorf("want \"control document not read\" and no revision=0 in\n%s", log.String())
	}
}
