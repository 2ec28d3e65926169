package process

import (
	"context"
	"encoding/base64"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

// loadBalancerDelay exceeds the time until the fleet's load balancer notices
// that an instance is not ready (0.5 s).
const loadBalancerDelay = 2 * time.Second

// readyTimeout bounds a health check, as a load balancer's does.
const readyTimeout = 200 * time.Millisecond

// daemon is an instance in a process of its own.
type daemon struct {
	spec  fleet.InstanceSpec
	child *child
	http  http.Client
}

// startDaemon writes a settings file and starts the daemon with it. Seeds are
// the peer addresses of instances to ask while the configuration service is down.
func startDaemon(t *testing.T, spec fleet.InstanceSpec, seeds ...string) (*daemon, error) {
	text, err := yaml.Marshal(settingsOf(spec, seeds))
	if err != nil {
		return nil, err
	}
	file := filepath.Join(t.TempDir(), spec.ID+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	started, _ := startChild(t, "sycamoreliftd", "--settings", file)
	return &daemon{spec: spec, child: started, http: http.Client{Timeout: readyTimeout}}, nil
}

func settingsOf(spec fleet.InstanceSpec, seeds []string) map[string]any {
	settings := map[string]any{
		"instance": map[string]string{"id": spec.ID, "zone": spec.Zone, "region": spec.Region},
		"listen": map[string]string{
			"caller": spec.CallerAddress, "peer": spec.PeerAddress, "operator": spec.OperatorAddress},
		"config_service": map[string]string{"url": spec.ConfigURL},
		"trust":          trustOf(spec.Trust),
		"log":            map[string]string{"format": "text", "level": "info"},
		"shutdown":       map[string]string{"load_balancer_delay": loadBalancerDelay.String(), "drain_timeout": "30s"},
	}
	if len(seeds) > 0 {
		settings["seeds"] = seeds
	}
	return settings
}

func trustOf(trust bundle.Trust) []map[string]any {
	var signers []map[string]any
	for _, signer := range trust.Signers {
		signers = append(signers, map[string]any{
			"name": signer.Name, "public_key": base64.StdEncoding.EncodeToString(signer.PublicKey),
			"sections": signer.Sections, "may_release": signer.MayRelease})
	}
	return signers
}

// Ready asks the operator listener.
func (d *daemon) Ready() bool {
	reply, err := d.http.Get("http://" + d.spec.OperatorAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// Shutdown asks the process to leave and waits for its end. It also sends SIGHUP, before and
// while the process stops: that must not end the process early.
func (d *daemon) Shutdown(ctx context.Context) error {
	d.child.signal(syscall.SIGHUP)
	d.child.signal(syscall.SIGTERM)
	d.child.signal(syscall.SIGHUP)
	select {
	case <-d.child.exited:
		return eris.Wrap(d.child.err, "daemon "+d.spec.ID)
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "daemon "+d.spec.ID)
	}
}

// Kill ends the process at once.
func (d *daemon) Kill() { d.child.kill() }
