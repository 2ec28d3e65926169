package standin

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// BackendCommand runs one backend server as a process of its own.
type BackendCommand struct {
	Deployment string        `long:"deployment" description:"office or agenda-serena" default:"office"`
	Service    string        `long:"service" description:"service of the deployment" required:"true"`
	Shard      int           `long:"shard" description:"shard"`
	Replica    int           `long:"replica" description:"replica"`
	Seed       uint64        `long:"seed" description:"seed of data and service times" default:"1"`
	Snapshots  string        `long:"snapshots" description:"snapshot versions served, comma separated" default:"1"`
	Between    time.Duration `long:"zone-delay" description:"one-way delay between zones; default is the deployment's"`
	Listen     string        `long:"listen" description:"listen address" default:"127.0.0.1:0"`
	Admin      string        `long:"admin" description:"listen address of the admin endpoint" default:"127.0.0.1:0"`
}

// Run serves until the context ends. It prints its addresses in one line.
func (c *BackendCommand) Run(ctx context.Context, out io.Writer) error {
	config, err := c.config()
	if err != nil {
		return err
	}
	server, err := StartBackendServer(config)
	if err != nil {
		return err
	}
	defer server.Stop()
	return serveAdmin(ctx, c.Admin, NewBackendAdmin(server), func(admin string) {
		fmt.Fprintf(out, "id=%s listen=%s admin=%s\n", server.ID(), server.Address(), admin)
	})
}

func (c *BackendCommand) config() (BackendConfig, error) {
	spec, err := SpecByName(c.Deployment)
	if err != nil {
		return BackendConfig{}, err
	}
	service, err := spec.Service(c.Service)
	if err != nil {
		return BackendConfig{}, err
	}
	if c.Shard < 0 || c.Shard >= service.Shards || c.Replica < 0 || c.Replica >= service.Replicas {
		return BackendConfig{}, eris.Errorf("%s has shards 0 to %d and replicas 0 to %d", service.Name, service.Shards-1, service.Replicas-1)
	}
	versions, err := ParseVersions(c.Snapshots)
	if err != nil {
		return BackendConfig{}, err
	}
	between := spec.BetweenOne
	if c.Between > 0 {
		between = c.Between
	}
	config := BackendConfig{
		Member: Member(spec, service, c.Shard, c.Replica), Service: service,
		Data: DatasetOf(service, c.Seed), Snapshots: versions,
		Delays: NewZoneDelays(between), Seed: c.Seed,
	}
	config.Member.Address = c.Listen
	return config, nil
}
