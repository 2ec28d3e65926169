package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
)

// statusCommand reads the operator listener. The fields that an instance
// reports may grow, so they are passed through by name.
type statusCommand struct {
	Streams Streams `no-flag:"true"`
	connection
	output
}

// Execute shows the status.
func (c *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var status map[string]json.RawMessage
	if err := c.do(ctx, call{method: http.MethodGet, path: "/v1/status", reply: &status}); err != nil {
		return err
	}
	return c.write(c.Streams.Out, status, func(w io.Writer) error { return writeStatus(w, status) })
}

func writeStatus(w io.Writer, status map[string]json.RawMessage) error {
	for _, name := range slices.Sorted(maps.Keys(status)) {
		var text string
		if json.Unmarshal(status[name], &text) != nil {
			text = string(status[name])
		}
		if _, err := fmt.Fprintf(w, "%s: %s\n", name, text); err != nil {
			return err
		}
	}
	return nil
}
