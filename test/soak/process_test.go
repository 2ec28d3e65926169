package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// handlerDelay is how long after the start of a process a SIGHUP may end it: a signal that
// arrives before the program runs has its default effect.
const handlerDelay = 50 * time.Millisecond

// process is one instance, restarted after each end.
type process struct {
	id, zone, settings, log           string
	caller, readiness, peer, operator string
	store                             string // through a proxy

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{} // closed when the current command has ended
	started  time.Time
	hungUp   bool     // the soak has sent SIGHUP while the program may not have had a handler
	expected bool     // the soak has ended it
	ends     []string // ends that nobody caused
}

// newProcess gives the n-th process a loopback address of its own: a port that was
// free a moment ago can be taken by an outgoing connection of another process (seed
// 107 of the first session).
func newProcess(dir, id, zone, store string, n int) *process {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%200, n+1)
	return &process{
		id: id, zone: zone, store: store,
		settings: filepath.Join(dir, id+".yaml"), log: filepath.Join(dir, id+".log"),
		caller: ip + ":8104", peer: ip + ":8106", readiness: ip + ":8108", operator: ip + ":9464",
	}
}

func (p *process) writeSettings(t *testing.T, seeds string) {
	text := fmt.Sprintf(`instance: {id: %s, zone: %s, region: r}
listen: {caller: %q, readiness: %q, peer: %q, operator: %q}
seeds: [%s]
store: %q
memory_mb: 284
cores: 0.4
bounds: {drain: 3s, grace: 6s, extra_ratio: 0.2, extra_allowance: 50, extra_window: 10s}
`, p.id, p.zone, p.caller, p.readiness, p.peer, p.operator, seeds, p.store)
	assert.NilError(t, os.WriteFile(p.settings, []byte(text), 0o600))
}

// start runs the binary and follows its end.
func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startLocked(binary)
}

func (p *process) startLocked(binary string) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(binary)
	command.Env = append(os.Environ(), platformtest.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = log, log
	// Also a soak that is ended from outside leaves no process behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.expected = command, exited, false
	p.started, p.hungUp = time.Now(), false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		close(exited)
		if p.expected {
			return
		}
		if p.hungUp && endedBySIGHUP(command) {
			if err = p.startLocked(binary); err == nil { // as the platform does
				return
			}
		}
		p.ends = append(p.ends, fmt.Sprint(err))
	}()
	return nil
}

func endedBySIGHUP(command *exec.Cmd) bool {
	status, ok := command.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

// signal reaches only the process that was started here.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	if s == syscall.SIGHUP && time.Since(p.started) < handlerDelay {
		p.hungUp = true
	}
	_ = p.command.Process.Signal(s) // it may have ended meanwhile
}

func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// stop ends the process as the platform does.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended():
	case <-time.After(grace):
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended()
}

func (p *process) unexpectedEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}
