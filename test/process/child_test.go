package process

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// exitTimeout bounds the wait for the end of a killed process.
const exitTimeout = 5 * time.Second

// child is a process that a test has started.
type child struct {
	command *exec.Cmd
	log     *logBuffer
	exited  chan struct{} // closed when err is set
	err     error
}

// logBuffer keeps the output of a process for a failing test.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer // guarded by mu
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// tail returns the last output.
func (b *logBuffer) tail() string {
	const most = 4000
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.text.String()
	return text[max(0, len(text)-most):]
}

// startChild starts a command that ends with the test at the latest. The
// kernel ends it as well when the test process dies.
func startChild(t *testing.T, name string, arguments ...string) (*child, io.Reader) {
	t.Helper()
	c := &child{command: exec.Command(filepath.Join(binaries, name), arguments...), log: &logBuffer{}, exited: make(chan struct{})}
	c.command.Stderr = c.log
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c.command.Stdout = writer
	if err := c.command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	go func() {
		c.err = c.command.Wait()
		close(c.exited)
	}()
	t.Cleanup(func() {
		c.kill()
		_ = reader.Close()
		if t.Failed() && testing.Verbose() {
			t.Logf("%s %v:\n%s", name, arguments, c.log.tail())
		}
	})
	return c, reader
}

// addresses reads the line of NAME=VALUE pairs that a simulated server prints.
func addresses(t *testing.T, output io.Reader) map[string]string {
	t.Helper()
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pairs := map[string]string{}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		pairs[name] = value
	}
	return pairs
}

func (c *child) signal(s syscall.Signal) { _ = c.command.Process.Signal(s) }

// kill ends the process, paused or not, and waits for its end.
func (c *child) kill() {
	c.signal(syscall.SIGKILL)
	select {
	case <-c.exited:
	case <-time.After(exitTimeout):
	}
}
