package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Services of the test. Submissions run on backend servers inside the test
// process, whose execution log the oracle reads.
const (
	team         = "office"
	searches     = "renewal-search"
	submissions  = "fee-ledger"
	seed         = 1
	childShards  = 3 // shards whose replicas are processes of their own
	shardCopies  = 2
	instances    = 5
	configListen = "listen"
)

// platform is the simulated platform with the configuration service and some
// backend servers as processes.
type platform struct {
	t        *testing.T
	config   map[string]string // addresses of the configuration service
	servers  map[string]*child // backend servers by id
	listen   map[string]string // their addresses by id
	daemons  map[string]*daemon
	prepared bool
}

func newPlatform(t *testing.T) *platform {
	p := &platform{t: t, servers: map[string]*child{}, listen: map[string]string{}, daemons: map[string]*daemon{}}
	_, output := startChild(t, "standin-config")
	p.config = addresses(t, output)
	for n := range childShards * shardCopies {
		server, output := startChild(t, "standin-backend", "--deployment", team, "--service", searches,
			"--seed", fmt.Sprint(seed), "--shard", fmt.Sprint(n/shardCopies), "--replica", fmt.Sprint(n%shardCopies))
		printed := addresses(t, output)
		p.servers[printed["id"]] = server
		p.listen[printed["id"]] = printed[configListen]
	}
	return p
}

// start is the fleet's starter. The first call copies the control documents of
// the fleet's own configuration service to the one in a process.
func (p *platform) start(_ context.Context, spec fleet.InstanceSpec) (fleet.Instance, error) {
	if !p.prepared {
		p.copyDocuments(spec.ConfigURL)
		p.prepared = true
	}
	spec.ConfigURL = "http://" + p.config[configListen]
	started, err := startDaemon(p.t, spec)
	p.daemons[spec.ID] = started
	return started, err
}

func (p *platform) copyDocuments(from string) {
	keys := []string{standin.KeyBundle, standin.IndexKey(team, searches), standin.IndexKey(team, submissions)}
	for _, key := range keys {
		p.publish(key, p.read(from, key))
	}
	var members membership.Members
	assert.NilError(p.t, json.Unmarshal(p.read(from, standin.KeyMembers), &members))
	for n, server := range members.BackendServers {
		if address, ok := p.listen[server.ID]; ok {
			members.BackendServers[n].Address = address
		}
	}
	data, err := json.Marshal(members)
	assert.NilError(p.t, err)
	p.publish(standin.KeyMembers, data)
}

func (p *platform) read(from, key string) []byte {
	reply, err := http.Get(from + "/v1/keys/" + key)
	assert.NilError(p.t, err)
	defer reply.Body.Close()
	assert.Equal(p.t, reply.StatusCode, http.StatusOK, key)
	data, err := io.ReadAll(reply.Body)
	assert.NilError(p.t, err)
	return data
}

func (p *platform) publish(key string, data []byte) {
	p.admin(http.MethodPut, "/keys/"+key, data)
}

// admin calls the admin endpoint of the configuration service.
func (p *platform) admin(method, path string, body []byte) {
	request, err := http.NewRequest(method, "http://"+p.config["admin"]+path, bytes.NewReader(body))
	assert.NilError(p.t, err)
	reply, err := http.DefaultClient.Do(request)
	assert.NilError(p.t, err)
	defer reply.Body.Close()
	assert.Equal(p.t, reply.StatusCode, http.StatusOK, path)
}
