package instance

import (
	"crypto/rand"
	"crypto/tls"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/configclient"
	"github.com/sycamorelift/sycamorelift/pkg/controlplane"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
	"go.opentelemetry.io/otel/trace"
)

// Bounds of calls to backend servers.
const (
	// progressTimeout is the longest silence of a search on a reused
	// connection before a new one is tried. It exceeds the service time of a
	// healthy backend server several times and leaves room for a second try
	// within a deadline of some hundred milliseconds.
	progressTimeout = 80 * time.Millisecond
	backendDial     = 250 * time.Millisecond
	// configTimeout exceeds the longest watch that the control plane asks for.
	configTimeout = 45 * time.Second
)

// randomSource makes the keys of tickets.
var randomSource io.Reader = rand.Reader

func orStderr(w io.Writer) io.Writer {
	if w == nil {
		return os.Stderr
	}
	return w
}

func backendOptions(zone string, tlsConfig *tls.Config, logger *slog.Logger, tracer trace.Tracer) backend.Options {
	return backend.Options{
		DialTimeout:     backendDial,
		ProgressTimeout: progressTimeout,
		TLS:             tlsConfig,
		Zone:            zone,
		Logger:          logger,
		Tracer:          tracer,
	}
}

func newConfigService(s *settings.Settings) *configclient.Client {
	return configclient.New(s.ConfigService.URL, &http.Client{Timeout: configTimeout})
}

func verifier(trust bundle.Trust) controlplane.Verifier {
	return func(data []byte) (int64, string, any, error) {
		verified, err := bundle.Verify(data, trust)
		if err != nil {
			return 0, "", nil, err
		}
		return verified.Version(), verified.Digest, verified, nil
	}
}
