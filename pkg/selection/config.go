package selection

import "time"

// Config tunes a Selector. Zero values take the defaults.
type Config struct {
	// RemoteFactor weights the expected latency of replicas in other zones,
	// since links between zones are expensive. Default 1.2.
	RemoteFactor float64
	// EjectTime is the first ejection; each further one is twice as long, up
	// to MaxEjectTime. Defaults 1 s and 30 s.
	EjectTime    time.Duration
	MaxEjectTime time.Duration
	// Failures is the number of consecutive failures that ejects. Default 3.
	Failures int
	// SlowFactor ejects a replica whose service time is that many times the
	// median of the service, after SlowSamples observations. Defaults 3 and 10.
	SlowFactor  float64
	SlowSamples int
	// RetryBudget is the number of retries per first attempt. Default 0.1.
	RetryBudget float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.RemoteFactor, 1.2)
	setDefault(&c.EjectTime, time.Second)
	setDefault(&c.MaxEjectTime, 30*time.Second)
	setDefault(&c.Failures, 3)
	setDefault(&c.SlowFactor, 3)
	setDefault(&c.SlowSamples, 10)
	setDefault(&c.RetryBudget, 0.1)
	return c
}

func setDefault[T int | float64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}
