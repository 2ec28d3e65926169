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

// testStore returns a store on a clock that the test moves.
func testStore(now *time.Time, log *slog.Logger) *Store {
	return NewStore(simVerify, func() time.Time { return *now }, log)
}

// TestMalformedDocument guards against a malformed document that replaces a
// good one or is rejected without its place.
func TestMalformedDocument(t *testing.T) {
	now := time.Unix(0, 0)
	var log bytes.Buffer
	s := testStore(&now, slog.New(slog.NewTextHandler(&log, nil)))
	good := `{"instances": [{"id": "i", "zone": "z", "address": "a", "state": "live"}]}`
	bad := []string{"{\n \"instances\": x}", "{\n \"instances\": [{\"id\": 3}]}", "{}", "", `{"instances": [{"id": "i"}]}`}
	if ok, err := s.Accept(Document{Key: KeyMembers, Revision: 1, Data: []byte(good)}); !ok || err != nil {
		t.Fatal(ok, err)
	}
	for i, data := range bad {
		_, err := s.Accept(Document{Key: KeyMembers, Revision: int64(2 + i), Data: []byte(data)})
		var rejected *RejectedError
		var findings finding.List
		if !errors.As(err, &rejected) || !errors.As(err, &findings) {
			t.Fatalf("%q: %v", data, err)
		}
		if i < 2 && findings[0].Line != 2 {
			t.Errorf("%q: place %v", data, findings[0])
		}
	}
	if d, _ := s.Get(KeyMembers); d.Revision != 1 {
		t.Errorf("replaced by revision %d", d.Revision)
	}
	if !strings.Contains(log.String(), "members:2:") {
		t.Errorf("no place in %s", log.String())
	}
	other := `{"team": "a", "service": "b"}`
	if _, err := s.Accept(Document{Key: IndexKey("a", "c"), Revision: 1, Data: []byte(other)}); err == nil {
		t.Error("manifest of another service accepted")
	}
}

// TestDamagedCopy guards against a good bundle that is locked out because a
// damaged copy of it arrived first.
func TestDamagedCopy(t *testing.T) {
	now := time.Unix(0, 0)
	s := testStore(&now, nil)
	bundle := Document{Key: KeyBundle, Revision: 2, Digest: "b", Data: []byte("dam/aged")}
	if _, err := s.Accept(bundle); err == nil || s.Wants(bundle.Version()) {
		t.Error("a rejected version is wanted at once")
	}
	bundle.Data = simBundle(3, "c")
	now = now.Add(minRejectionBackoff)
	var mismatch *MismatchError
	if _, err := s.Accept(bundle); !errors.As(err, &mismatch) {
		t.Errorf("data of another version: %v", err)
	}
	bundle.Data = simBundle(2, "b")
	if ok, err := s.Accept(bundle); !ok || err != nil {
		t.Error("good copy refused:", err)
	}
}
