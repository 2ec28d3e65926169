package standin

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// ConfigCommand runs a configuration service as a process of its own.
type ConfigCommand struct {
	Listen       string   `long:"listen" description:"listen address" default:"127.0.0.1:0"`
	SecondListen string   `long:"second-listen" description:"second listen address" default:"127.0.0.1:0"`
	Admin        string   `long:"admin" description:"listen address of the admin endpoint" default:"127.0.0.1:0"`
	Publish      []string `long:"publish" description:"KEY=FILE to publish at start"`
}

// Run serves until the context ends. It prints its addresses in one line.
func (c *ConfigCommand) Run(ctx context.Context, out io.Writer) error {
	service, err := StartConfigService(c.Listen, c.SecondListen)
	if err != nil {
		return err
	}
	defer service.Stop()
	for _, entry := range c.Publish {
		if err := publishFile(service, entry); err != nil {
			return err
		}
	}
	return serveAdmin(ctx, c.Admin, NewConfigAdmin(service), func(admin string) {
		fmt.Fprintf(out, "listen=%s second=%s admin=%s\n", service.Address(), service.SecondAddress(), admin)
	})
}

func publishFile(service *ConfigService, entry string) error {
	key, file, ok := strings.Cut(entry, "=")
	if !ok {
		return eris.Errorf("%q is not KEY=FILE", entry)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	_, err = service.Publish(key, data)
	return err
}
