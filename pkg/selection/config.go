package selection

import "time"

// Config holds the parameters of a Selector. Zero values are replaced by the defaults.
type Config struct {
	// RemoteFactor multiplies the expected latency of replicas in other availability
	// zones, because links between zones are expensive. Default 1.2.
	RemoteFactor float64
	// EjectTime is the duration of the first ejection. Each further ejection of a
	// replica lasts twice as long, up to MaxEjectTime. Defaults 1 s and 30 s.
	EjectTime    time.Duration
	MaxEjectTime time.Duration
	// FailuresToEject is the number of consecutive failures that ejects a replica. Default 3.
	FailuresToEject int
	// A replica is ejected if its mean service time exceeds SlowFactor times the
	// median of the service, after at least SlowSamples observations. Defaults 3
	// and 10.
	SlowFactor  float64
	SlowSamples int
	// RetryBudget is the number of retries allowed per first attempt. Default 0.1.
	RetryBudget float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.RemoteFactor, 1.2)
	setDefault(&c.EjectTime, time.Second)
	setDefault(&c.MaxEjectTime, 30*time.Second)
	setDefault(&c.FailuresToEject, 3)
	setDefault(&c.SlowFactor, 3)
	setDefault(&c.SlowSamples, 10)
	setDefault(&c.RetryBudget, 0.1)
	return c
}

func setDefault[T int | float64 | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
