package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// Ports of each instance, on a loopback address of its own. The operator port is the one that
// the template of the deploy file names.
const (
	portFront   = 8104
	portControl = 8106
	portReady   = 8108
)

// memoryMB is the memory of a machine in the folder of small deployments (DEPLOY.md, sheets).
const memoryMB = 284

// machine is one machine of the platform that runs one instance.
type machine struct {
	name, zone, ip string
	settings       string // path of the settings file
	program        string
	env            []string
	logs           string // path

	mu      sync.Mutex
	process *exec.Cmd // nil while none runs
	done    chan struct{}
	starts  int
}

// deployment holds the values of the template that all machines share.
type deployment struct {
	folder  string // for settings and logs
	program string
	store   string
	zones   []string
	seeds   []string
}

func (d *deployment) newMachine(name, zone, ip string) (*machine, error) {
	m := &machine{name: name, zone: zone, ip: ip, program: d.program,
		settings: filepath.Join(d.folder, name+".yaml"), logs: filepath.Join(d.folder, name+".log")}
	template, err := os.ReadFile("deploy/relay.yaml")
	if err != nil {
		return nil, err
	}
	quoted := func(s string) string {
		text, _ := json.Marshal(s) // a string can always be encoded
		return string(text)
	}
	seeds, err := json.Marshal(d.seeds)
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node|json}}", quoted(name), "{{zone|json}}", quoted(zone), "{{region|json}}", quoted("r"),
		"{{bind_addresses.front|json}}", quoted(fmt.Sprintf("%s:%d", ip, portFront)),
		"{{bind_addresses.ready|json}}", quoted(fmt.Sprintf("%s:%d", ip, portReady)),
		"{{bind_addresses.control|json}}", quoted(fmt.Sprintf("%s:%d", ip, portControl)),
		"{{ip}}", ip, "{{seeds|json}}", string(seeds), "{{platform.address|json}}", quoted(d.store),
		"{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", strconv.Itoa(memoryMB),
		"{{bounds.drain_ms}}", "3000", "{{bounds.grace_s}}", "6", "{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.budget_slack}}", "52", "{{bounds.budget_window_s}}", "10",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("deploy/relay.yaml has a placeholder that this stand-in does not know:\n%s", text)
	}
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "r"
	}
	zonesText, err := json.Marshal(zones)
	if err != nil {
		return nil, err
	}
	m.env = append(callerEnvironment(), platformtest.SettingsVariable+"="+m.settings, "RELAY_ZONES="+string(zonesText),
		"RELAY_WARMUP_OVERAGE=", "RELAY_WARMUP_SLACK=", "RELAY_FIRST_START=true")
	machinesMu.Lock()
	machines = append(machines, m)
	machinesMu.Unlock()
	return m, os.WriteFile(m.settings, []byte(text), 0o600)
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, portFront) }
func (m *machine) ready() string { return fmt.Sprintf("http://%s:%d/ready", m.ip, portReady) }

// machines are all that were made, for endAll.
var (
	machinesMu sync.Mutex
	machines   []*machine
)

// endAll ends all processes that this program has started.
func endAll() {
	machinesMu.Lock()
	defer machinesMu.Unlock()
	for _, m := range machines {
		m.stop()
	}
}

// start starts the instance. Ended is called once when the process has ended.
func (m *machine) start(ended func()) error {
	out, err := os.OpenFile(m.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(m.program)
	process.Env, process.Stdout, process.Stderr = m.env, out, out
	if err := process.Start(); err != nil {
		_ = out.Close()
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.process, m.done = process, done
	m.starts++
	m.mu.Unlock()
	go func() {
		_ = process.Wait() // the reason of the end is of no interest
		_ = out.Close()
		m.mu.Lock()
		m.process = nil
		m.mu.Unlock()
		close(done)
		if ended != nil {
			ended()
		}
	}()
	return nil
}

// signal sends a signal to the process that this program has started, if it runs.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(sig)
	}
}

// stop ends the process and waits for its end.
func (m *machine) stop() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// anonymousMB returns the memory of the process without the pages of files, or 0 if none runs.
func (m *machine) anonymousMB() float64 {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kib, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			if err == nil {
				return kib / 1024
			}
		}
	}
	return 0
}

// callerEnvironment returns the variables that the platform passes on (DEPLOY.md).
func callerEnvironment() (env []string) {
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if value, set := os.LookupEnv(name); set {
			env = append(env, name+"="+value)
		}
	}
	return env
}
