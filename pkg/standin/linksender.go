package standin

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// partitionPoll is how often a link looks whether a partition has healed.
const partitionPoll = 10 * time.Millisecond

// linkSender is what a link knows about the instance at the other end of one
// connection.
type linkSender struct {
	network *Network
	to      membership.Instance
	id      atomic.Pointer[string] // nil until recognized
}

// recognize looks for a known instance id as a protobuf string field: its
// length, then its bytes. The first one in a message is its sender.
func (s *linkSender) recognize(data []byte) {
	if s.id.Load() != nil {
		return
	}
	first := len(data)
	for _, id := range s.network.ids() {
		field := append([]byte{byte(len(id))}, id...)
		if i := bytes.Index(data, field); i >= 0 && i < first && id != s.to.ID {
			first = i
			s.id.Store(&id)
		}
	}
}

func (s *linkSender) delay(forward bool) time.Duration {
	id := s.id.Load()
	if id == nil {
		return 0
	}
	from, to := s.network.zone(*id), s.to.Zone
	if !forward {
		from, to = to, from
	}
	return s.network.delays.OneWay(from, to)
}

// waitConnected holds data back while a partition separates the two ends. The
// wait is bounded by the connection: both ends give up on it on their own, and
// a stopped network is healed first.
func (s *linkSender) waitConnected() {
	id := s.id.Load()
	for id != nil && !s.network.connected(*id, s.to.ID) {
		time.Sleep(partitionPoll)
	}
}
