package cli

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

type versionCommand struct {
	Streams Streams `no-flag:"true"`
	output
}

type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of the source, when the build recorded it
	Go       string `json:"go"`
}

// Execute shows the version.
func (c *versionCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	result := buildVersion()
	return c.write(c.Streams.Out, result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s %s %s %s\n", toolName, result.Version, result.Revision, result.Go)
		return err
	})
}

func buildVersion() versionResult {
	result := versionResult{Version: "(devel)", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return result
	}
	if info.Main.Version != "" {
		result.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			result.Revision = setting.Value
		}
	}
	return result
}
