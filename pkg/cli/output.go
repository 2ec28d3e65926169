package cli

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// output is the option that selects text or JSON.
type output struct {
	Format string `long:"output" description:"output format" choice:"text" choice:"json" default:"text"`
}

// write writes a value as indented JSON or by its text function.
func (o output) write(out io.Writer, value any, text func(io.Writer) error) error {
	if o.Format != "json" {
		return eris.Wrap(text(out), "write output")
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return eris.Wrap(encoder.Encode(value), "write output")
}
