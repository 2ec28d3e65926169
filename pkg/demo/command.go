package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// ErrViolated tells that the demonstration ran and an invariant was violated.
var ErrViolated = eris.New("an invariant was violated")

// Command is the demo command of the command-line tool.
type Command struct {
	Queries    int    `long:"queries" description:"number of queries" default:"100"`
	Fault      string `long:"fault" description:"fault that is switched on after a third of the queries: none, straggler, replica-loss, silent-connections, config-down, repartition, crashing-request, overload, wrong-replies, drain, instance-loss, bundle-change, rolling-restart, combined or partition" default:"none"`
	Deployment string `long:"deployment" description:"office or agenda-serena" default:"office"`
	Output     string `long:"output" description:"text or json" default:"text"`
	Seed       uint64 `long:"seed" description:"seed of data, queries and service times" default:"1"`

	Out   io.Writer     `no-flag:"true"` // nil is standard output
	Start fleet.Starter `no-flag:"true"` // nil starts instances of this build
}

// Execute runs the command. The error is ErrViolated when an invariant was
// violated and a *flags.Error when the flags or arguments are wrong.
func (c *Command) Execute(args []string) error {
	if len(args) > 0 {
		return usage("demo takes no arguments, got %q", args)
	}
	if err := c.check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := Run(ctx, Config{
		Deployment: c.Deployment, Queries: c.Queries, Fault: c.Fault, Seed: c.Seed, Start: c.starter(),
	})
	if err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return eris.Wrap(err, "write the report")
	}
	if report.Violations() > 0 {
		return ErrViolated
	}
	return nil
}

// check returns a usage error for values that can't be run.
func (c *Command) check() error {
	if c.Output != "text" && c.Output != "json" {
		return usage("output %q is neither text nor json", c.Output)
	}
	if c.Queries < 1 {
		return usage("queries is %d, at least 1 is needed", c.Queries)
	}
	if _, err := standin.SpecByName(c.Deployment); err != nil {
		return usage("%v", err)
	}
	if _, err := fleet.FaultByName(c.Fault); err != nil {
		return usage("%v", err)
	}
	return nil
}

func usage(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

func (c *Command) write(report *Report) error {
	out := c.Out
	if out == nil {
		out = os.Stdout
	}
	if c.Output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.WriteText(out)
}

func (c *Command) starter() fleet.Starter {
	if c.Start == nil {
		return fleet.StartInstance
	}
	return c.Start
}
