package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// instance is one process of the system.
type instance struct {
	id, settings             string
	caller, readiness, peer  string
	operator                 string
	way                      *proxy // to the store
	command                  *exec.Cmd
	exited                   chan struct{}
	cutFrom, cutUntilInTouch time.Time // not in touch between them
}

func newInstance(dir string, n int, way *proxy) *instance {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%200, n+1)
	id := fmt.Sprintf("edge-%d", n+1)
	return &instance{id: id, settings: filepath.Join(dir, id+".yaml"), way: way,
		caller: ip + ":8104", peer: ip + ":8106", readiness: ip + ":8108", operator: ip + ":9464"}
}

// start writes the settings as the platform fills in the template of the deploy file, and starts
// the program of the deploy file.
func (i *instance) start(binary, dir string, seeds []string) error {
	text := fmt.Sprintf(`instance: {id: %s, zone: zone-a, region: region-a}
listen: {caller: %q, readiness: %q, peer: %q, operator: %q}
seeds: ["%s"]
store: %q
cores: 0.4
memory_mb: 284
bounds: {drain: 3000ms, grace: 6s, extra_ratio: 0.2, extra_allowance: 54, extra_window: 10s}
`, i.id, i.caller, i.readiness, i.peer, i.operator, strings.Join(seeds, `", "`), i.way.address())
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, i.id+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	i.command = exec.Command(binary)
	i.command.Env = append(os.Environ(), platformtest.SettingsVariable+"="+i.settings)
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func() {
		_ = i.command.Wait()
		close(i.exited)
	}()
	return nil
}

func (i *instance) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := http.Get("http://" + i.readiness + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", i.id, within)
}

func (i *instance) stop() {
	if i.exited == nil {
		return
	}
	_ = i.command.Process.Kill()
	<-i.exited
}

// inTouch reports whether the instance was in touch at a time: its way to the store has not been
// cut since the stability window before it.
func (i *instance) inTouch(at time.Time) bool {
	return at.Before(i.cutFrom) || !at.Before(i.cutUntilInTouch)
}
