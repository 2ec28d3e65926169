package cli

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command ran and failed
	ExitUsage  = 2 // wrong flags or arguments; nothing was done
)

const toolName = "sycamorelift"

// Run parses the arguments, without the program's name, runs the command they
// name and returns the exit code.
func Run(args []string, streams Streams, commands []Command) int {
	parser := flags.NewNamedParser(toolName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operate and try out sycamorelift"
	for _, c := range commands {
		if err := c.addTo(parser.Command); err != nil {
			fmt.Fprintf(streams.Err, "%s: command %s: %v\n", toolName, c.Name, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, streams)
}

// report writes the outcome of a command and returns its exit code.
func report(err error, streams Streams) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		fmt.Fprintf(streams.Err, "%s: %v\n", toolName, err)
		return ExitFailed
	}
	if usage.Type == flags.ErrHelp {
		fmt.Fprintln(streams.Out, usage.Message)
		return ExitOK
	}
	fmt.Fprintf(streams.Err, "%s: %s\n", toolName, usage.Message)
	fmt.Fprintf(streams.Err, "try %s --help\n", toolName)
	return ExitUsage
}

// usageError returns an error that exits with ExitUsage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

// noArguments returns a usage error when there are surplus arguments.
func noArguments(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return usageError("unexpected argument %q", args[0])
}
