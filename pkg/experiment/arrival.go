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
