package capacity

import (
	"syscall"
	"testing"
	"time"
)

// MeasureCPU starts to measure the processor time of the process and returns a
// function that reports it as cpu-ns/op. Unlike the elapsed time it hardly
// depends on what else runs on the machine.
func MeasureCPU(b *testing.B) (report func()) {
	b.Helper()
	before := CPUTime()
	return func() {
		b.ReportMetric(float64(CPUTime()-before)/float64(b.N), "cpu-ns/op")
	}
}

// CPUTime returns the processor time that the process has used, 0 if unknown.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
