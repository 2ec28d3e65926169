package process

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

const (
	// smallestMemory is the memory in MB of the smallest instance of a deployment.
	smallestMemory = 184
	// largestBody is the largest body in bytes that the table allows.
	largestBody = 256 << 10
	// bodyCallers exceeds the bodies that fit into smallestMemory, and with the connections to
	// servers stays below the descriptors of an instance.
	bodyCallers = 2000
	memoryHost  = "search.example"
)

// Guards against an instance that is ended because callers fill its memory with the largest bodies
// while the servers are slow or do not answer: what does not fit is refused as not run, and the
// instance serves again afterwards.
func TestInstanceFullOfLargestBodiesKeepsItsMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	assert.NilError(t, noteSources())
	for name, fault := range map[string]platformtest.Fault{
		"servers do not answer": {Hang: true},
		"servers take 100 ms":   {Delay: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { fillWithBodies(t, fault) })
	}
}

func fillWithBodies(t *testing.T, fault platformtest.Fault) {
	store := platformtest.NewStore(50)
	t.Cleanup(store.Close)
	var servers []*platformtest.Server
	for n := range 4 {
		server := platformtest.NewServer(fmt.Sprintf("i-%d", n), "single", "zone-a")
		t.Cleanup(server.Close)
		store.Write(platformtest.PrefixServers+server.ID, server.Entry(server.Address(), "ready"))
		servers = append(servers, server)
	}
	store.Write(platformtest.KeyTable, platformtest.Table(1, memoryHost, []string{"single"}, "single", 20, 0.6))
	caller, process := startRelay(t, store.Address())

	for _, server := range servers {
		server.SetFault(fault)
	}
	statuses, slowestRefusal := sendLargestBodies(caller)
	peak := peakMemory(t, process)
	t.Logf("peak of %d MB; answers by status: %v; slowest refusal %v", peak>>20, statuses, slowestRefusal)
	assert.Assert(t, peak < smallestMemory<<20, "%d bytes", peak)
	assert.Assert(t, statuses[http.StatusServiceUnavailable] > 0, "%v", statuses)

	for _, server := range servers {
		server.SetFault(platformtest.Fault{})
	}
	for deadline := time.Now().Add(10 * time.Second); sendBody(caller, "after", []byte("small")) != http.StatusOK; time.Sleep(100 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the instance does not serve again")
	}
}

// startRelay starts an instance of the smallest memory and returns its address for callers and its
// process.
func startRelay(t *testing.T, store string) (caller string, process *os.Process) {
	ip := fmt.Sprintf("127.%d.%d.7", 1+os.Getpid()%200, 1+os.Getpid()/200%200)
	settings := filepath.Join(t.TempDir(), "relay.yaml")
	text := fmt.Sprintf(`instance: {id: edge-1, zone: zone-a, region: region-a}
listen: {caller: "%[1]s:8104", readiness: "%[1]s:8108", peer: "%[1]s:8106", operator: "%[1]s:9464"}
store: %[2]q
cores: 0.192
memory_mb: %[3]d
bounds: {drain: 3000ms, grace: 6s, extra_ratio: 0.2, extra_allowance: 54, extra_window: 10s}
`, ip, store, smallestMemory)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	command := exec.Command(filepath.Join(binaries, "sycamorelift-relay"))
	command.Env = append(os.Environ(), platformtest.SettingsVariable+"="+settings)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the instance is not ready")
		response, err := http.Get("http://" + ip + ":8108/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return ip + ":8104", command.Process
		}
	}
}

// sendLargestBodies sends all bodies at once. It returns the number of answers by status, 0 for
// none, and the time of the slowest refusal.
func sendLargestBodies(caller string) (statuses map[int]int, slowestRefusal time.Duration) {
	body := make([]byte, largestBody)
	statuses = map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range bodyCallers {
		group.Go(func() {
			began := time.Now()
			status := sendBody(caller, fmt.Sprint("body-", n), body)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if status == http.StatusServiceUnavailable {
				slowestRefusal = max(slowestRefusal, time.Since(began))
			}
		})
	}
	group.Wait()
	return statuses, slowestRefusal
}

// sendBody sends one request on a connection of its own and returns the status of the answer, 0
// without one.
func sendBody(caller, id string, body []byte) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+caller+"/once/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = memoryHost
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderTimeoutMs, "2000")
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// peakMemory returns the highest resident memory of a process in bytes.
func peakMemory(t *testing.T, process *os.Process) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	t.Fatal("no peak memory in the status of the process")
	return 0
}
