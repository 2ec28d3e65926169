package settings

import (
	"crypto/ed25519"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

// Guards against settings that are read into the wrong field or dropped.
func TestLoadReadsEveryField(t *testing.T) {
	s, err := Load("testdata/full.yaml")
	assert.NilError(t, err)
	signer := bundle.Signer{
		Name: "Jana Kováčová", PublicKey: make(ed25519.PublicKey, ed25519.PublicKeySize),
		Sections: []string{"team/office", "platform"}, MayRelease: true,
	}
	assert.DeepEqual(t, *s, Settings{
		Instance:      Instance{ID: "office-a-1", Zone: "sk-1a", Region: "sk-1"},
		Listen:        Listen{Caller: "127.0.0.1:8440", Peer: "127.0.0.1:8441", Operator: "[::1]:8442"},
		ConfigService: ConfigService{URL: "http://127.0.0.1:8500"},
		Trust:         bundle.Trust{Signers: []bundle.Signer{signer}},
		Log:           Log{Format: LogText, Level: slog.LevelDebug},
		Traces:        Traces{Exporter: TracesOTLP, Endpoint: "http://127.0.0.1:4318", Sample: 0.5},
		Limits: Limits{MaxRequestBytes: 2048, MaxHeaderBytes: 4096,
			ReadTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second},
		Shutdown:         Shutdown{LoadBalancerDelay: 3 * time.Second, DrainTimeout: time.Minute},
		Freshness:        time.Second,
		BootstrapTimeout: 30 * time.Second,
	})
}

// Guards against findings that hide each other or state a wrong place.
func TestLoadReportsAllFindings(t *testing.T) {
	_, err := Load("testdata/broken.yaml")
	golden.Assert(t, err.Error()+"\n", "broken.findings")
}

// Guards against optional parts that reset their defaults when absent.
func TestLoadKeepsDefaults(t *testing.T) {
	data, err := os.ReadFile("testdata/full.yaml")
	assert.NilError(t, err)
	required, _, _ := strings.Cut(string(data), "log:")
	file := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(required), 0o600))
	s, err := Load(file)
	assert.NilError(t, err)
	want := Default()
	assert.Equal(t, s.Shutdown, want.Shutdown)
	assert.Equal(t, s.Limits, want.Limits)
	assert.Equal(t, s.Log, want.Log)
	assert.Equal(t, s.Traces, want.Traces)
	assert.Equal(t, s.Freshness, 2*time.Second)
}
