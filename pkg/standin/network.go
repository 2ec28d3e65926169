package standin

import (
	"sync"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Network simulates the links between instances: delays between their zones
// and partitions. Each instance is reached through a PeerLink whose address
// stands in the platform's list. It is safe for concurrent use.
type Network struct {
	delays *ZoneDelays

	mu        sync.RWMutex
	zones     map[string]string // guarded by mu; zone by instance id
	separated map[string]int    // guarded by mu; side of a partition by instance id
}

// NewNetwork returns a network without instances.
func NewNetwork(delays *ZoneDelays) *Network {
	return &Network{delays: delays, zones: map[string]string{}, separated: map[string]int{}}
}

// Add registers an instance, so that links recognize it as a sender.
func (n *Network) Add(instance membership.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[instance.ID] = instance.Zone
}

// Partition separates the named instances from all others. Connections across
// it carry nothing until Heal.
func (n *Network) Partition(instances ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.separated = map[string]int{}
	for _, id := range instances {
		n.separated[id] = 1
	}
}

// Heal ends the partition.
func (n *Network) Heal() { n.Partition() }

func (n *Network) zone(instance string) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.zones[instance]
}

func (n *Network) connected(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.separated[a] == n.separated[b]
}

// ids returns the instances, for recognizing a sender.
func (n *Network) ids() []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	out := make([]string, 0, len(n.zones))
	for id := range n.zones {
		out = append(out, id)
	}
	return out
}
