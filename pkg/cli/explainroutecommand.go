package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

const explainRouteHelp = "Asks the operator listener of an instance where a request would go now: the version of the table, the route, " +
	"and for each service or shard the servers with their scores and reasons. Nothing is sent to servers. " +
	"The decision for a real request also depends on its content (a request may be quarantined) and, for the share that leaves the zone, on its turn."

// explainRouteCommand shows where an instance would send a request.
type explainRouteCommand struct {
	Streams Streams `no-flag:"true"`
	output
	Host     string        `long:"host" description:"host of the request" required:"true"`
	Path     string        `long:"path" description:"path of the request" required:"true"`
	Operator string        `long:"operator" description:"address of the operator listener of the instance: IP:port" required:"true"`
	Timeout  time.Duration `long:"timeout" description:"longest wait for the reply" default:"10s"`
}

// Execute shows the explanation.
func (c *explainRouteCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var x forward.Explanation
	query := url.Values{"host": {c.Host}, "path": {c.Path}}
	instance := connection{Instance: c.Operator, Timeout: c.Timeout}
	if err := instance.do(ctx, call{method: http.MethodGet, path: "/v1/explain-route?" + query.Encode(), reply: &x}); err != nil {
		return err
	}
	return c.write(c.Streams.Out, x, func(w io.Writer) error { return writeRouteExplanation(w, &x) })
}

func writeRouteExplanation(w io.Writer, x *forward.Explanation) error {
	var b strings.Builder
	fmt.Fprintf(&b, "instance %s in zone %s, table version %d\n", x.Instance, x.Zone, x.Table)
	if x.Route != "" {
		fmt.Fprintf(&b, "route %s", x.Route)
		if x.Sharded {
			fmt.Fprintf(&b, ", %d shards, %d required", len(x.Services), x.Required)
		}
		b.WriteByte('\n')
	}
	if x.Refused != "" {
		fmt.Fprintf(&b, "refused: %s %s\n", x.Refused, x.Detail)
	}
	for i := range x.Services {
		writeServiceExplanation(&b, &x.Services[i])
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeServiceExplanation(b *strings.Builder, s *forward.ServiceExplanation) {
	fmt.Fprintf(b, "%s", s.Service)
	if s.Weight > 0 {
		fmt.Fprintf(b, " (weight %d)", s.Weight)
	}
	switch {
	case s.Server == "":
		b.WriteString(": no server")
	case s.Relay != "":
		fmt.Fprintf(b, ": %s through instance %s", s.Server, s.Relay)
	default:
		fmt.Fprintf(b, ": %s", s.Server)
	}
	if s.ShareOut > 0 {
		fmt.Fprintf(b, "; %.0f%% leave for zone %s", 100*s.ShareOut, s.LeaveFor)
	}
	b.WriteByte('\n')
	for _, candidate := range s.Servers {
		fmt.Fprintf(b, "  %s zone %s score %.2f expected %.1f ms running %d", candidate.Server, candidate.Zone, candidate.Score, candidate.ExpectedMs, candidate.Running)
		if !candidate.Usable {
			b.WriteString(" not usable")
		}
		if len(candidate.Reasons) > 0 {
			fmt.Fprintf(b, ": %s", strings.Join(candidate.Reasons, ", "))
		}
		b.WriteByte('\n')
	}
}
