package bundle

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Service is a group of backend servers that answers one kind of request.
type Service struct {
	Name        string
	Kind        ServiceKind
	Slots       int           // concurrent requests per backend server
	Connections int           // connections per backend server, all instances together
	Deadline    time.Duration // longest for any class
	Hedge       Hedge         // search only
	Canary      Canary        // search only
	CrashLimit  int           // backend servers that one request may crash
}

// Hedge states when a second attempt starts while the first is running.
type Hedge struct {
	Quantile float64 // of attempt latency; 0 is off
	Budget   float64 // extra attempts per attempt
}

// Canary states whether one shard is asked first for requests that have not
// been seen to succeed.
type Canary struct {
	Enabled bool
	MaxWait time.Duration // longest delay of the other shards; 0 waits for the canary
}

const (
	mostSlots       = 4096
	mostConnections = 65536
	// A hedge below the median would double most attempts.
	lowestHedgeQuantile  = 0.5
	highestHedgeQuantile = 0.9999
	defaultCrashLimit    = 2
)

func parseService(v yamldoc.Value, p Platform) Service {
	s := Service{CrashLimit: min(defaultCrashLimit, p.MaxCrashLimit)}
	o := v.Object()
	o.Required("name").Match(&s.Name, namePattern, nameRule)
	yamldoc.OneOf(o.Required("kind"), &s.Kind, KindSearch, KindSubmission)
	o.Required("slots").Int(&s.Slots, yamldoc.Range[int]{Min: 1, Max: mostSlots})
	connections := o.Required("connections")
	connections.Int(&s.Connections, yamldoc.Range[int]{Min: 1, Max: mostConnections})
	o.Required("deadline").Duration(&s.Deadline, yamldoc.Range[time.Duration]{Min: shortestDeadline, Max: p.MaxDeadline})
	hedge, canary := o.Optional("hedge"), o.Optional("canary")
	o.Optional("crash_limit").Int(&s.CrashLimit, yamldoc.Range[int]{Min: 1, Max: p.MaxCrashLimit})
	o.Close()
	s.Hedge = parseHedge(hedge, p)
	s.Canary = parseCanary(canary, s.Deadline)
	if s.Connections > 0 && s.Connections < s.Slots {
		connections.Fail("%d connections can't fill %d slots", s.Connections, s.Slots)
	}
	if s.Kind == KindSubmission {
		refuseRepeats(s, hedge, canary)
	}
	return s
}

// refuseRepeats reports settings that would run a submission more than once.
func refuseRepeats(s Service, hedge, canary yamldoc.Value) {
	if s.Hedge.Quantile > 0 {
		hedge.Fail("a submission runs at most once and can't be hedged")
	}
	if s.Canary.Enabled {
		canary.Fail("a submission runs on one shard and has no canary")
	}
}

func parseHedge(v yamldoc.Value, p Platform) Hedge {
	var h Hedge
	if !v.Present() {
		return h
	}
	o := v.Object()
	quantile := o.Required("quantile")
	quantile.Float(&h.Quantile, yamldoc.Range[float64]{Max: highestHedgeQuantile})
	o.Required("budget").Float(&h.Budget, yamldoc.Range[float64]{Max: p.MaxHedgeBudget})
	o.Close()
	if h.Quantile > 0 && h.Quantile < lowestHedgeQuantile {
		quantile.Fail("%v is neither 0 (off) nor in the range %v to %v", h.Quantile, lowestHedgeQuantile, highestHedgeQuantile)
	}
	return h
}

func parseCanary(v yamldoc.Value, deadline time.Duration) Canary {
	var c Canary
	if !v.Present() {
		return c
	}
	o := v.Object()
	o.Required("enabled").Bool(&c.Enabled)
	o.Optional("max_wait").Duration(&c.MaxWait, yamldoc.Range[time.Duration]{Max: deadline})
	o.Close()
	return c
}
