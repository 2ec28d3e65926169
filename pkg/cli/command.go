// Package cli is the command tree of the command-line tool: bundle, search,
// submit, status, settings, explain, explain-route and version. Other packages' commands, such as demo and
// experiment, are given to Run by the main package.
package cli

import (
	"io"

	"github.com/jessevdk/go-flags"
)

// Command is one command of the tool. Data is a struct with go-flags tags; a
// command without subcommands implements flags.Commander. Execute returns a
// *flags.Error for wrong usage and any other error for a failure.
type Command struct {
	Name        string
	Short       string // one line, for the list of commands
	Long        string // for the command's own help; Short when empty
	Data        any
	Subcommands []Command
}

// Streams are the tool's output streams. Errors go to Err.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Commands returns the commands of this package, writing to the streams.
func Commands(streams Streams) []Command {
	return []Command{
		bundleCommand(streams),
		{Name: "search", Short: "Search through a running instance", Data: &searchCommand{Streams: streams}},
		{Name: "submit", Short: "Submit a request that runs at most once", Long: submitHelp, Data: &submitCommand{Streams: streams}},
		{Name: "status", Short: "Show the status of a running instance", Data: &statusCommand{Streams: streams}},
		{Name: "settings", Short: "Work with settings files", Data: &group{}, Subcommands: []Command{
			{Name: "check", Short: "Check a settings file and print every finding", Data: &settingsCheckCommand{Streams: streams}},
		}},
		{Name: "explain", Short: "Tell from the logs of instances what decided a request", Data: &explainCommand{Streams: streams}},
		{Name: "explain-route", Short: "Show where an instance would send a request now, and why", Long: explainRouteHelp, Data: &explainRouteCommand{Streams: streams}},
		{Name: "version", Short: "Show the version of this tool", Data: &versionCommand{Streams: streams}},
	}
}

// group is the data of a command that only has subcommands.
type group struct{}

func (c Command) addTo(parent *flags.Command) error {
	long := c.Long
	if long == "" {
		long = c.Short
	}
	added, err := parent.AddCommand(c.Name, c.Short, long, c.Data)
	if err != nil {
		return err
	}
	for _, sub := range c.Subcommands {
		if err := sub.addTo(added); err != nil {
			return err
		}
	}
	return nil
}
