package demo

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

const (
	// queryGap is the time between two queries.
	queryGap = 25 * time.Millisecond
	// calmShare is the part of the queries that is sent before the fault.
	calmShare = 1.0 / 3
	// poisonEvery is how often the crashing request is repeated.
	poisonEvery = 8
	// settleTime lets cancelled work end before executions are compared.
	settleTime = 100 * time.Millisecond
)

// Config describes one demonstration.
type Config struct {
	Deployment string // office or agenda-serena
	Queries    int
	Fault      string
	Seed       uint64
	Options    fleet.Options
	Start      fleet.Starter
}
