package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// arrival is one request at its time after the start of a turn.
type arrival struct {
	at      time.Duration
	request fleet.Request
}

// arrivals draws a Poisson process. The same arguments give the same arrivals.
func arrivals(spec standin.DeploymentSpec, seed uint64, label string, rate float64, length time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 0xa221))
	workload := fleet.NewWorkload(spec, seed, label)
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return out
		}
		out = append(out, arrival{at: at, request: workload.Next()})
	}
}

// shareSamples is the number of requests from which mainShare is estimated.
const shareSamples = 20000

// mainShare returns the part of a deployment's requests that go to a service.
func mainShare(spec standin.DeploymentSpec, service string) float64 {
	workload := fleet.NewWorkload(spec, 1, "share")
	count := 0
	for range shareSamples {
		if workload.Next().Service == service {
			count++
		}
	}
	return float64(count) / shareSamples
}
