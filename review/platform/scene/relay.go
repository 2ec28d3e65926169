package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const (
	// relayProgram and settingsTemplate are those of deploy/system.toml.
	relayProgram     = "target/sycamorelift-relay"
	settingsTemplate = "deploy/relay.yaml"

	startTimeout = 15 * time.Second
)

// bounds are the figures of the small deployments (sites/*.toml, SYSTEM.md).
var bounds = map[string]any{
	"drain_ms":           drainTime.Milliseconds(),
	"grace_s":            int(graceTime / time.Second),
	"retry_budget_ratio": 0.2,
	"budget_slack":       52,
	"budget_window_s":    10,
}

const (
	drainTime = 3 * time.Second
	graceTime = 6 * time.Second
)

// relay is one process of the system.
type relay struct {
	id, zone             string
	ip                   string
	front, ready, peer   string // addresses
	settings             string // path of the settings file
	command              *exec.Cmd
	log                  *os.File
	exited               chan struct{}
	terminated, exitedAt time.Time
}

// newRelay chooses the addresses of a process. Each process has a loopback address of its own.
func newRelay(n int, zone string) (*relay, error) {
	pid := os.Getpid()
	r := &relay{id: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, n)}
	var err error
	for _, address := range []*string{&r.front, &r.ready, &r.peer} {
		*address, err = freeAddress(r.ip)
		if err != nil {
			return nil, err
		}
	}
	return r, nil
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// writeSettings fills in the template of the deploy file as the platform does.
func (r *relay) writeSettings(dir, store string, seeds []string) error {
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return err
	}
	fields := map[string]any{
		"node": r.id, "zone": r.zone, "region": "region-1", "ip": r.ip, "seeds": seeds,
		"bind_addresses": map[string]any{"front": r.front, "ready": r.ready, "control": r.peer},
		"platform":       map[string]any{"address": store},
		"limits":         map[string]any{"cpu_share": 0.4, "memory_mb": 284},
		"bounds":         bounds,
	}
	text, err := fillIn(string(template), fields)
	if err != nil {
		return err
	}
	r.settings = filepath.Join(dir, r.id+".yaml")
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// fillIn replaces the placeholders of a template without sections.
func fillIn(template string, fields map[string]any) (string, error) {
	var failed error
	text := placeholder.ReplaceAllStringFunc(template, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		var value any = fields
		for name := range strings.SplitSeq(parts[1], ".") {
			table, _ := value.(map[string]any)
			if value = table[name]; value == nil {
				failed = fmt.Errorf("the template names %s, which has no value here", parts[1])
				return ""
			}
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		failed = errors.Join(failed, err)
		return string(data)
	})
	return text, failed
}

func (r *relay) start(dir string) error {
	log, err := os.Create(filepath.Join(dir, r.id+".log"))
	if err != nil {
		return err
	}
	r.log = log
	r.command = exec.Command(relayProgram)
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, platformtest.SettingsVariable + "=" + r.settings}
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return err
	}
	r.exited = make(chan struct{})
	go func() {
		_ = r.command.Wait() // the end is what counts, with whatever code
		r.exitedAt = time.Now()
		close(r.exited)
	}()
	return nil
}

// awaitReady waits until the process reports that it is ready.
func (r *relay) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", r.id, startTimeout)
}

func (r *relay) isReady() bool {
	response, err := http.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// terminate sends SIGTERM.
func (r *relay) terminate() error {
	r.terminated = time.Now()
	return r.command.Process.Signal(syscall.SIGTERM)
}

// kill ends the process, unless it has ended, and waits for it.
func (r *relay) kill() {
	if r.command == nil || r.command.Process == nil {
		return
	}
	_ = r.command.Process.Kill() // fails only if the process has ended
	<-r.exited
	_ = r.log.Close()
}
