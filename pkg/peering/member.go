package peering

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Member is one run of an instance.
type Member struct {
	ID          string
	Zone        string // availability zone
	Address     string // peer listener, IP:port
	Incarnation uint64 // increases with each run of the same instance id
	Leaving     bool
	Millicores  int // available processor time, in 1/1000 of a core
}

func (m Member) toProto(age time.Duration) *peeringpb.Member {
	return &peeringpb.Member{
		Id:          m.ID,
		Zone:        m.Zone,
		Address:     m.Address,
		Incarnation: m.Incarnation,
		AgeMs:       uint32(max(age.Milliseconds(), 0)),
		Leaving:     m.Leaving,
		Millicores:  uint32(max(m.Millicores, 0)),
	}
}

func memberFromProto(m *peeringpb.Member) Member {
	return Member{
		ID:          m.GetId(),
		Zone:        m.GetZone(),
		Address:     m.GetAddress(),
		Incarnation: m.GetIncarnation(),
		Leaving:     m.GetLeaving(),
		Millicores:  bounded(m.GetMillicores(), maxMillicores),
	}
}
