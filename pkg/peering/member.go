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
	Incarnation uint64 // grows with each run of an id
	Leaving     bool
	Millicores  int // processor time that it has, in 1/1000 of a core
}

func (m Member) message(age time.Duration) *peeringpb.Member {
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

func memberOf(m *peeringpb.Member) Member {
	return Member{
		ID:          m.GetId(),
		Zone:        m.GetZone(),
		Address:     m.GetAddress(),
		Incarnation: m.GetIncarnation(),
		Leaving:     m.GetLeaving(),
		Millicores:  int(m.GetMillicores()),
	}
}
