package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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
	t       *testing.T
	config  map[string]string // addresses of the configuration service
	servers map[string]*child // backend servers by id
	listen  map[string]string // their addresses by id

	mu      sync.Mutex         // guards the fields below during the concurrent starts
	daemons map[string]*daemon // by id
	source  string             // the fleet's own configuration service, set by the first start
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
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.source == "" {
		p.source = spec.ConfigURL
		p.copyDocuments()
	}
	spec.ConfigURL = "http://" + p.config[configListen]
	// The process opens the listeners itself.
	for _, listener := range []net.Listener{spec.Listeners.Caller, spec.Listeners.Peer, spec.Listeners.Operator} {
		assert.Check(p.t, listener.Close())
	}
	started, err := startDaemon(p.t, spec)
	p.daemons[spec.ID] = started
	return started, err
}

func (p *platform) copyDocuments() {
	p.copyDocument(standin.KeyBundle)
	p.copyDocument(standin.IndexKey(team, searches))
	p.copyDocument(standin.IndexKey(team, submissions))
	var members membership.Members
	assert.NilError(p.t, json.Unmarshal(p.read(standin.KeyMembers), &members))
	for n, server := range members.BackendServers {
		if address, ok := p.listen[server.ID]; ok {
			members.BackendServers[n].Address = address
		}
	}
	data, err := json.Marshal(members)
	assert.NilError(p.t, err)
	p.publish(standin.KeyMembers, data)
}

func (p *platform) copyDocument(key string) { p.publish(key, p.read(key)) }

func (p *platform) read(key string) []byte {
	reply, err := http.Get(p.source + "/v1/keys/" + key)
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
