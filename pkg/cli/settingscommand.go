package cli

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// settingsCheckCommand checks a settings file without starting an instance.
type settingsCheckCommand struct {
	Streams Streams `no-flag:"true"`
	Relay   bool    `long:"relay" description:"the file is for sycamorelift-relay, not for sycamoreliftd"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"settings (YAML)"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints that the settings are valid; the error lists every finding.
func (c *settingsCheckCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var err error
	if c.Relay {
		_, err = settings.LoadRelay(c.Args.File)
	} else {
		_, err = settings.Load(c.Args.File)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Streams.Out, "settings are valid")
	return err
}
