package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// A zone of a large deployment has few strong instances and many weak ones, which hand their
// shards over. Guards against connections from all weak instances to all servers of shards:
// together they exceed the number that a server accepts, and the server resets those that
// requests need.
func TestWeakInstancesHoldNoConnectionsToShards(t *testing.T) {
	services := []routing.Service{{Name: "shard", MaxConnections: 120}, {Name: "next-shard", MaxConnections: 120}, {Name: "one", MaxConnections: 1200}}
	routes := []routing.Route{
		{Name: "all", Shards: []string{"shard"}},
		{Name: "one", WeightedServices: []routing.WeightedService{{Service: "one", Weight: 1}}},
	}
	table := routing.NewTable(1, routes, services, routing.Limits{})
	var servers []*directory.Server
	for _, service := range []string{"shard", "next-shard", "one", "unknown"} {
		servers = append(servers, &directory.Server{BackendServer: membership.BackendServer{ID: service + ".a", Service: service}})
	}
	for _, c := range []struct {
		handsShardsOver bool
		want            []string
	}{
		{false, []string{"shard.a", "next-shard.a", "one.a"}},
		{true, []string{"one.a"}},
	} {
		var got []string
		for _, server := range serversToWarm(table, servers, c.handsShardsOver) {
			got = append(got, server.ID)
		}
		assert.DeepEqual(t, got, c.want)
	}
}
