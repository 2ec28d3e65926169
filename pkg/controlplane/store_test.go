package controlplane

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/finding"
)

// testStore returns a store whose clock reads *now, which the test advances.
func testStore(now *time.Time, log *slog.Logger) *Store {
	return NewStore(simVerify, func() time.Time { return *now }, log)
}

// TestMalformedDocument guards against a malformed document that replaces a valid
// one, a rejection that does not name the line of the error, and a manifest that
// is accepted under the key of another service.
func TestMalformedDocument(t *testing.T) {
	now := time.Unix(0, 0)
	var log bytes.Buffer
	s := testStore(&now, slog.New(slog.NewTextHandler(&log, nil)))
	validMembers := `{"instances": [{"id": "i", "zone": "z", "address": "a", "state": "live"}]}`
	malformed := []string{"{\n \"instances\": x}", "{\n \"instances\": [{\"id\": 3}]}", "{}", "", `{"instances": [{"id": "i"}]}`}
	if ok, err := s.Accept(Document{Key: KeyMembers, Revision: 1, Data: []byte(validMembers)}); !ok || err != nil {
		t.Fatal(ok, err)
	}
	for i, data := range malformed {
		_, err := s.Accept(Document{Key: KeyMembers, Revision: int64(2 + i), Data: []byte(data)})
		var rejected *RejectedError
		var findings finding.List
		if !errors.As(err, &rejected) || !errors.As(err, &findings) {
			t.Fatalf("document %q: got error %v, want a rejection with findings", data, err)
		}
		if i < 2 && findings[0].Line != 2 {
			t.Errorf("document %q: got finding %v, want it on line 2", data, findings[0])
		}
	}
	if d, _ := s.Get(KeyMembers); d.Revision != 1 {
		t.Errorf("valid document replaced by malformed revision %d", d.Revision)
	}
	if !strings.Contains(log.String(), "members:2:") {
		t.Errorf("no line number in log record:\n%s", log.String())
	}
	otherManifest := `{"team": "a", "service": "b"}`
	if _, err := s.Accept(Document{Key: IndexKey("a", "c"), Revision: 1, Data: []byte(otherManifest)}); err == nil {
		t.Error("manifest accepted under the key of another service")
	}
}

// TestDamagedCopy guards against a valid bundle that is never accepted because a
// damaged copy of the same version arrived first.
func TestDamagedCopy(t *testing.T) {
	now := time.Unix(0, 0)
	s := testStore(&now, nil)
	bundle := Document{Key: KeyBundle, Revision: 2, Digest: "b", Data: []byte("dam/aged")}
	if _, err := s.Accept(bundle); err == nil || s.Wants(bundle.Version()) {
		t.Error("damaged copy not rejected, or its version wanted again right after the rejection")
	}
	bundle.Data = simBundle(3, "c")
	now = now.Add(minRejectionBackoff)
	var mismatch *MismatchError
	if _, err := s.Accept(bundle); !errors.As(err, &mismatch) {
		t.Errorf("data of another version than announced: got %v, want a mismatch", err)
	}
	bundle.Data = simBundle(2, "b")
	if ok, err := s.Accept(bundle); !ok || err != nil {
		t.Error("intact copy not accepted:", err)
	}
}
