package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"

	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/entry"
)

type searchCommand struct {
	Streams Streams `no-flag:"true"`
	connection
	caller
	Limit int `long:"limit" description:"most hits wanted" default:"20"`
	output
	Args struct {
		Query string `positional-arg-name:"QUERY" description:"what to search for"`
	} `positional-args:"yes" required:"yes"`
}

type searchBody struct {
	Query string `json:"query"`
	Limit int    `json:"limit"`
}

// Execute searches. A partial answer is an answer; its coverage says so.
func (c *searchCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Limit < 1 {
		return usageError("limit is %d, at least 1 is needed", c.Limit)
	}
	header, err := c.header()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var answer entry.Answer
	body := searchBody{Query: c.Args.Query, Limit: c.Limit}
	err = c.do(ctx, call{method: http.MethodPost, path: c.path("search"), header: header, body: body, reply: &answer})
	if err != nil {
		return c.refused(c.Streams.Out, err)
	}
	return c.write(c.Streams.Out, answer, func(w io.Writer) error { return writeAnswer(w, answer) })
}

// refused writes a refusal as JSON, if that is the output, and returns the
// error.
func (o output) refused(out io.Writer, err error) error {
	var refusal *entry.Refusal
	if o.Format != "json" || !errors.As(err, &refusal) {
		return err
	}
	return errors.Join(err, o.write(out, refusal, nil))
}

func writeAnswer(w io.Writer, a entry.Answer) error {
	for _, hit := range a.Hits {
		if _, err := fmt.Fprintf(w, "%s\t%.3f\t%s\n", hit.Key, hit.Score, hit.Document); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d hits, snapshot %d, bundle %d, %s\n", len(a.Hits), a.Snapshot, a.BundleVersion, describe(a.Coverage))
	if err == nil && a.StaleView {
		_, err = fmt.Fprintln(w, "nobody confirmed the instance's bundle in time; it may not be the newest")
	}
	return err
}

func describe(r coverage.Report) string {
	if r.Complete {
		return fmt.Sprintf("complete: %d documents", r.DocumentsTotal)
	}
	text := fmt.Sprintf("PARTIAL: %d of %d documents", r.Documents, r.DocumentsTotal)
	for _, m := range r.Missing {
		text += fmt.Sprintf("\nmissing shard %d, keys from %q to %q, %d documents: %s", m.Shard, m.From, m.To, m.Documents, m.Reason)
	}
	return text
}
