package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/entry"
)

const submitHelp = "Gets a ticket, then submits the payload with it. Without a reply, the submission is sent " +
	"again with the same ticket, under which it runs at most once. A new ticket is never fetched for a " +
	"submission that may have run; give the ticket of an earlier try with --ticket."

type submitCommand struct {
	Streams Streams `no-flag:"true"`
	connection
	caller
	Key      string `long:"key" description:"routing key of the submission" required:"true"`
	Ticket   string `long:"ticket" description:"ticket of an earlier try with the same key and payload"`
	Attempts int    `long:"attempts" description:"most times to send the submission" default:"4"`
	output
	Args struct {
		Payload string `positional-arg-name:"PAYLOAD" description:"JSON value to submit"`
	} `positional-args:"yes" required:"yes"`

	wait func(context.Context, time.Duration) error // nil waits on the clock
}

type ticketBody struct {
	Key string `json:"key"`
}

type ticketReply struct {
	Ticket string `json:"ticket"`
}

type submitBody struct {
	Key     string          `json:"key"`
	Payload json.RawMessage `json:"payload"`
}

type submitReply struct {
	RequestID     string          `json:"request_id"`
	Run           string          `json:"run"`
	Result        json.RawMessage `json:"result"`
	Replayed      bool            `json:"replayed"` // stored outcome of an earlier attempt
	Detail        string          `json:"detail,omitempty"`
	Issuer        string          `json:"issuer"`
	BundleVersion int64           `json:"bundle_version"`
}

const (
	ticketHeader    = "Sycamorelift-Ticket"
	firstResendWait = 200 * time.Millisecond
	longestWait     = 5 * time.Second
)

// Execute submits.
func (c *submitCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if !json.Valid([]byte(c.Args.Payload)) {
		return usageError("the payload is not a JSON value")
	}
	if c.Attempts < 1 {
		return usageError("attempts is %d, at least 1 is needed", c.Attempts)
	}
	header, err := c.header()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ticket, err := c.ticket(ctx, header)
	if err != nil {
		return eris.Wrap(c.refused(c.Streams.Out, err), "not run: no ticket")
	}
	header.Set(ticketHeader, ticket)
	reply, notRun, err := c.submit(ctx, header)
	if err != nil {
		return c.failed(ticket, notRun, err)
	}
	return c.write(c.Streams.Out, reply, reply.text)
}

// ticket returns the given ticket or gets one.
func (c *submitCommand) ticket(ctx context.Context, header http.Header) (string, error) {
	if c.Ticket != "" {
		return c.Ticket, nil
	}
	var reply ticketReply
	err := c.do(ctx, call{
		method: http.MethodPost, path: c.path("tickets"), header: header,
		body: ticketBody{Key: c.Key}, reply: &reply,
	})
	if err == nil && reply.Ticket == "" {
		err = errors.New("the reply holds no ticket")
	}
	return reply.Ticket, err
}

// submit sends the submission, again with the same ticket while that may help.
// notRun tells that every attempt with the ticket was refused as not run; a
// refusal of the last one says nothing about an earlier one without a reply.
func (c *submitCommand) submit(ctx context.Context, header http.Header) (reply submitReply, notRun bool, err error) {
	body := submitBody{Key: c.Key, Payload: json.RawMessage(c.Args.Payload)}
	wait := firstResendWait
	notRun = c.Ticket == ""
	for attempt := 1; ; attempt++ {
		err = c.do(ctx, call{method: http.MethodPost, path: c.path("submit"), header: header, body: body, reply: &reply})
		notRun = notRun && saysNotRun(err)
		if err == nil || attempt == c.Attempts || !mayResend(err) {
			return reply, notRun, err
		}
		if c.pause(ctx, max(wait, retryAfter(err))) != nil {
			return reply, notRun, err
		}
		wait = min(2*wait, longestWait)
	}
}

func saysNotRun(err error) bool {
	var refusal *entry.Refusal
	return errors.As(err, &refusal) && refusal.Run == entry.NotRun
}

// mayResend reports whether the same ticket may still be redeemed. A refusal
// because the request itself is at fault is final.
func mayResend(err error) bool {
	var refusal *entry.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason.Kind != entry.ReasonInvalid
	}
	return true
}

func retryAfter(err error) time.Duration {
	var refusal *entry.Refusal
	if !errors.As(err, &refusal) {
		return 0
	}
	return min(longestWait, time.Duration(refusal.RetryAfterMs)*time.Millisecond)
}

func (c *submitCommand) pause(ctx context.Context, d time.Duration) error {
	if c.wait != nil {
		return c.wait(ctx, d)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// failed states what is known about the submission.
func (c *submitCommand) failed(ticket string, notRun bool, err error) error {
	err = c.refused(c.Streams.Out, err)
	if notRun {
		return eris.Wrap(err, "not run")
	}
	return eris.Wrapf(err, "outcome unknown; resend with --ticket %s within 30 s of its issue", ticket)
}

func (r submitReply) text(w io.Writer) error {
	what := "run"
	if r.Replayed {
		what = "run by an earlier attempt"
	}
	_, err := fmt.Fprintf(w, "%s: %s\n", what, r.Result)
	return err
}
