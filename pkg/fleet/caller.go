package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/oracle"
)

const (
	// callerTries bounds the instances that a caller asks in turn.
	callerTries = 3
	// callerPatience is how long a caller waits beyond its class's deadline.
	callerPatience = 2 * time.Second
	// ticketHeader carries the ticket of a submission.
	ticketHeader = "Sycamorelift-Ticket"
	maxReply     = 8 << 20
)

// Do sends a request through the load balancer, asks another instance when one
// fails without a reply, and audits what it gets. The latency excludes the
// time before Do was called.
func (f *Fleet) Do(ctx context.Context, request Request) Reply {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, request.Class.Deadline+callerPatience)
	defer cancel()
	var reply Reply
	if request.Submission() {
		reply = f.submit(ctx, request)
	} else {
		reply = f.search(ctx, request)
	}
	reply.Latency = time.Since(started)
	return reply
}

func (f *Fleet) search(ctx context.Context, request Request) Reply {
	sent := time.Now()
	body := searchBody{Query: request.Query, Limit: request.Limit}
	raw, tries, err := f.ask(ctx, request, "search", body, "")
	if err != nil {
		return Reply{Outcome: Failed, Reason: err.Error(), Tries: tries}
	}
	if refusal := raw.refusal(); refusal != nil {
		f.Audit.Refusal(refusal.RequestID, refusal.Run)
		return Reply{Outcome: Refused, Refusal: refusal, Reason: refusal.Reason.Name(), Tries: tries}
	}
	var answer oracle.Answer
	if err := json.Unmarshal(raw.body, &answer); err != nil || raw.status != http.StatusOK {
		return Reply{Outcome: Failed, Reason: "reply is not an answer", Tries: tries}
	}
	reply := Reply{Outcome: Complete, Answer: &answer, Tries: tries}
	if !answer.Coverage.Complete {
		reply.Outcome = Partial
	}
	reply.Problems = f.Audit.Answer(oracle.Search{
		Team: f.config.Spec.Team, Service: request.Service, Query: request.Query, Limit: request.Limit,
	}, answer, sent)
	return reply
}

// ask tries instances in turn until one replies.
func (f *Fleet) ask(ctx context.Context, request Request, verb string, body any, ticket string) (*rawReply, int, error) {
	asked := map[int]bool{}
	var last error
	for try := 1; try <= callerTries; try++ {
		number, err := f.lb.pick(request.Draw, asked)
		if err != nil {
			return nil, try, firstError(last, err)
		}
		asked[number] = true
		raw, err := f.post(ctx, number, request, verb, body, ticket)
		if err == nil {
			return raw, try, nil
		}
		last = err
		if ctx.Err() != nil {
			return nil, try, err
		}
	}
	return nil, callerTries, last
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// post sends one request to one instance, with the delay between the caller
// and its zone in both directions.
func (f *Fleet) post(ctx context.Context, number int, request Request, verb string, body any, ticket string) (*rawReply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	address := f.members[number].currentSpec().CallerAddress
	url := "http://" + address + "/v1/" + f.config.Spec.Team + "/" + request.Service + "/" + verb
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	post.Header.Set("Authorization", "Bearer "+request.Class.Token())
	post.Header.Set("Content-Type", "application/json")
	if ticket != "" {
		post.Header.Set(ticketHeader, ticket)
	}
	time.Sleep(f.config.Spec.ClientOne)
	response, err := f.http.Do(post)
	if err != nil {
		return nil, eris.Wrap(err, "call instance")
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	time.Sleep(f.config.Spec.ClientOne)
	return &rawReply{status: response.StatusCode, body: reply}, nil
}
