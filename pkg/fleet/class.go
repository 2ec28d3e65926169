package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Class is a class of callers with the caller that stands for it.
type Class struct {
	Name        string
	Priority    int // 0 is served first
	MinCoverage float64
	Deadline    time.Duration
	Services    []string // searches first
	Share       float64  // of the load
}

// Token returns the token of the class's caller.
func (c Class) Token() string { return "token-of-" + c.Name }

func (c Class) tokenSHA256() string {
	sum := sha256.Sum256([]byte(c.Token()))
	return hex.EncodeToString(sum[:])
}

// Classes returns the caller classes of a deployment, first priority first.
func Classes(deployment string) []Class {
	if deployment == standin.AgendaSerenaName {
		return agendaSerenaClasses()
	}
	return officeClasses()
}

// A renewal clerk needs the full history before signing; an inspector at the
// aircraft needs a quick check; a flight school reads single records.
func officeClasses() []Class {
	return []Class{
		{Name: "inspector", Priority: 0, MinCoverage: 0.8, Deadline: time.Second, Share: 0.2,
			Services: []string{"renewal-search", "aeromedical-exchange"}},
		{Name: "clerk", Priority: 1, MinCoverage: 1, Deadline: 2 * time.Second, Share: 0.4,
			Services: []string{"renewal-search", "aeromedical-exchange", "fee-ledger"}},
		{Name: "school", Priority: 2, MinCoverage: 0.5, Deadline: time.Second, Share: 0.4,
			Services: []string{"school-portal", "renewal-search"}},
	}
}

// An urgent opening is lost when the search is late; the chain's batch of
// look-ups comes last.
func agendaSerenaClasses() []Class {
	return []Class{
		{Name: "urgent", Priority: 0, MinCoverage: 0.8, Deadline: time.Second, Share: 0.2,
			Services: []string{"booking-search"}},
		{Name: "front-desk", Priority: 1, MinCoverage: 0.9, Deadline: time.Second, Share: 0.4,
			Services: []string{"booking-search", "profiles", "payments"}},
		{Name: "chain", Priority: 2, MinCoverage: 0.5, Deadline: 2 * time.Second, Share: 0.4,
			Services: []string{"booking-search", "profiles", "reminders"}},
	}
}
