// Package daemon implements the command line of sycamoreliftd.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sycamorelift/sycamorelift/pkg/instance"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// options are the flags of the daemon.
type options struct {
	Settings      string `long:"settings" value-name:"FILE" required:"true" description:"settings of this instance (YAML)"`
	CheckSettings bool   `long:"check-settings" description:"check the settings, print every finding and exit"`
}

// Main runs the daemon until SIGTERM or SIGINT and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewNamedParser("sycamoreliftd", flags.HelpFlag|flags.PassDoubleDash)
	_, _ = parser.AddGroup("Options", "", &opts)
	positional, err := parser.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		return exitOK
	}
	if err == nil && len(positional) > 0 {
		err = fmt.Errorf("unexpected argument %q", positional[0])
	}
	if err != nil {
		fmt.Fprintln(stderr, "sycamoreliftd:", err)
		return exitUsage
	}
	return run(opts, stdout, stderr)
}

func run(opts options, stdout, stderr io.Writer) int {
	loaded, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if opts.CheckSettings {
		fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	// Settings take effect at the next start. Without this a SIGHUP would end the process and
	// cut off its requests.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, loaded); err != nil {
		fmt.Fprintln(stderr, "sycamoreliftd:", err)
		return exitFailed
	}
	return exitOK
}

// serve runs an instance until ctx is cancelled and then shuts it down gracefully.
func serve(ctx context.Context, loaded *settings.Settings) error {
	node, err := instance.New(ctx, loaded, instance.Options{})
	if err != nil {
		return err
	}
	if err := node.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return node.Shutdown(context.Background())
}
