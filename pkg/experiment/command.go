package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

// ErrViolated tells that the experiment ran and an invariant was violated.
var ErrViolated = eris.New("an invariant was violated")

// Command is the experiment command of the command-line tool.
type Command struct {
	Scenario string        `long:"scenario" description:"office, agenda-serena, straggler, replica-loss, overload, silent-connections, repartition, rolling-restart, combined or crashing-request" default:"office"`
	Policy   string        `long:"policy" description:"owners, direct, hedge, no-hedge, observed, random, canary, no-canary, retry, no-retry, soft-stop, no-soft-stop or plain" default:"owners"`
	Baseline string        `long:"baseline" description:"like policy" default:"direct"`
	Output   string        `long:"output" description:"text, json or csv" default:"text"`
	Duration time.Duration `long:"duration" description:"measured time of each of the three arms; default is the scenario's"`
	Seed     uint64        `long:"seed" description:"seed of data, arrivals and service times" default:"1"`

	Out   io.Writer     `no-flag:"true"` // nil is standard output
	Start fleet.Starter `no-flag:"true"` // nil starts instances of this build
}

// Execute runs the command. The error is ErrViolated when an invariant was
// violated and a *flags.Error when the flags or arguments are wrong.
func (c *Command) Execute(args []string) error {
	if len(args) > 0 {
		return usage("experiment takes no arguments, got %q", args)
	}
	config, err := c.config()
	if err != nil {
		return usage("%v", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := Run(ctx, config)
	if err != nil {
		return err
	}
	if err := c.write(result); err != nil {
		return eris.Wrap(err, "write the result")
	}
	if result.Breaks() > 0 {
		return ErrViolated
	}
	return nil
}

// Breaks returns the broken invariants of all arms.
func (r *Result) Breaks() int {
	return r.Policy.InvariantBreaks + r.Baseline.InvariantBreaks + r.NoFault.InvariantBreaks
}

func (c *Command) config() (Config, error) {
	config := Config{Duration: c.Duration, Seed: c.Seed, Start: c.starter()}
	var err error
	if config.Scenario, err = ScenarioByName(c.Scenario); err != nil {
		return config, err
	}
	if config.Policy, err = PolicyByName(c.Policy); err != nil {
		return config, err
	}
	if config.Baseline, err = PolicyByName(c.Baseline); err != nil {
		return config, err
	}
	if c.Output != "text" && c.Output != "json" && c.Output != "csv" {
		return config, eris.Errorf("output %q is none of text, json, csv", c.Output)
	}
	if c.Duration < 0 {
		return config, eris.Errorf("duration %s is negative", c.Duration)
	}
	return config, nil
}

func (c *Command) write(result *Result) error {
	out := c.Out
	if out == nil {
		out = os.Stdout
	}
	switch c.Output {
	case "json":
		return result.WriteJSON(out)
	case "csv":
		return result.WriteCSV(out)
	}
	return result.WriteText(out)
}

func usage(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

func (c *Command) starter() fleet.Starter {
	if c.Start == nil {
		return fleet.StartInstance
	}
	return c.Start
}
