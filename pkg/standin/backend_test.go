package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fastService = ServiceSpec{
	Team: "office", Name: "renewal-search", Submission: true, Shards: 3, Replicas: 2,
	Slots: 2, Connections: 3, ConnectDelay: time.Millisecond, Documents: 300,
	Time: ServiceTime{Median: time.Millisecond, Sigma: 0.1},
}

type probe struct {
	t      *testing.T
	server *BackendServer
	client *http.Client
}

type probeReply struct {
	status int
	header http.Header
	body   struct {
		searchReplyHead
		Hits      []Document `json:"hits"`
		NotRun    bool       `json:"not_run"`
		Reason    string     `json:"reason"`
		Operation string     `json:"operation"`
		Run       bool       `json:"run"`
	}
}

func startProbe(t *testing.T, service ServiceSpec, versions ...int64) *probe {
	server, err := StartBackendServer(BackendConfig{
		Member: Member(Office(), service, 1, 0), Service: service,
		Data: DatasetOf(service, 1), Snapshots: versions, Seed: 1,
	})
	assert.NilError(t, err)
	t.Cleanup(server.Stop)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	return &probe{t: t, server: server, client: client}
}

func (p *probe) send(ctx context.Context, path, body string, headers ...string) (*probeReply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.server.Address()+path, strings.NewReader(body))
	assert.NilError(p.t, err)
	request.Header.Set(HeaderRequest, "r1")
	request.Header.Set(HeaderAttempt, "4")
	request.Header.Set(HeaderShard, "1")
	request.Header.Set(HeaderSnapshot, "1")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	reply := &probeReply{status: response.StatusCode, header: response.Header}
	return reply, json.NewDecoder(bytes.NewReader(data)).Decode(&reply.body)
}

func (p *probe) search(query string, headers ...string) (*probeReply, error) {
	return p.send(context.Background(), "/v1/search", fmt.Sprintf(`{"query":%q,"limit":5}`, query), headers...)
}

func (p *probe) mustSearch(query string, headers ...string) *probeReply {
	p.t.Helper()
	reply, err := p.search(query, headers...)
	assert.NilError(p.t, err)
	return reply
}

// Guards against replies that lack what the protocol promises.
func TestSearchReply(t *testing.T) {
	p := startProbe(t, fastService, 1, 2)
	reply := p.mustSearch("all")
	assert.Equal(t, reply.status, http.StatusOK)
	assert.Equal(t, reply.header.Get(HeaderSnapshots), "1,2")
	assert.Equal(t, reply.header.Get(HeaderIncarnation), "renewal-search-s01-r0.1")
	partition := p.server.config.Data.shard(1, 1).partition
	head := searchReplyHead{Request: "r1", Attempt: 4, Shard: 1, Snapshot: 1, From: partition.From, To: partition.To, Documents: partition.Documents, Complete: true}
	assert.Equal(t, reply.body.searchReplyHead, head)
	assert.Equal(t, len(reply.body.Hits), 5)
	other := p.mustSearch("all", HeaderSnapshot, "2")
	assert.Assert(t, other.body.Hits[0] != reply.body.Hits[0])
	one := p.mustSearch("key:" + reply.body.Hits[2].Key)
	assert.DeepEqual(t, one.body.Hits, reply.body.Hits[2:3])
}

// Guards against refusals that run the request or are not labelled.
func TestRefusals(t *testing.T) {
	p := startProbe(t, fastService, 1)
	gone := p.mustSearch("all", HeaderSnapshot, "9")
	assert.Equal(t, gone.status, http.StatusGone)
	assert.Equal(t, gone.body.Reason, "snapshot-gone")
	late := p.mustSearch("all", HeaderTimeoutMs, "0")
	assert.Equal(t, late.status, http.StatusGatewayTimeout)
	assert.Assert(t, late.body.NotRun)
	p.server.Drain(time.Hour)
	assert.Equal(t, p.mustSearch("all").header.Get(HeaderDraining), "1")
	p.server.Drain(0)
	drained := p.mustSearch("all")
	assert.Equal(t, drained.status, http.StatusServiceUnavailable)
	assert.Equal(t, drained.body.Reason, "draining")
	p.server.EndDrain()
	p.server.SetColdStart(time.Hour)
	assert.Equal(t, p.mustSearch("all").body.Reason, "cold")
	assert.Equal(t, p.server.Stats().Searches, int64(1))
	assert.Equal(t, p.server.Stats().AfterDrain, int64(1))
}

// Guards against a connection limit that isn't enforced and against excess
// requests that are queued without bound.
func TestLimits(t *testing.T) {
	slow := fastService
	slow.Time = ServiceTime{Median: time.Hour}
	slow.Connections = 30
	p := startProbe(t, slow, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	const callers = 40
	for range callers {
		go func() {
			_, _ = p.send(ctx, "/v1/search", `{"query":"all"}`)
			done <- struct{}{}
		}()
	}
	waitFor(t, func() bool {
		stats := p.server.Stats()
		return stats.Searches == 2 && stats.Refused > 0
	})
	// Callers that were refused may have shared connections, so that the limit is
	// reached for certain only by connections that stay open.
	for range slow.Connections + 1 {
		conn, err := net.Dial("tcp", p.server.Address())
		if err != nil {
			break // reset at the limit already
		}
		defer func() { _ = conn.Close() }()
	}
	waitFor(t, func() bool { return p.server.Stats().OverLimit > 0 })
	assert.Assert(t, p.server.Stats().PeakConnections <= 30)
	cancel()
	for range callers {
		<-done
	}
	waitFor(t, func() bool { return p.server.Stats().Cancelled > 0 && p.server.current().gate.busy() == 0 })
}

// Guards against silent connections that answer or run requests, and new ones
// that don't.
func TestSilentConnections(t *testing.T) {
	p := startProbe(t, fastService, 1)
	p.mustSearch("all")
	p.server.Silence()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := p.send(ctx, "/v1/search", `{"query":"all"}`)
	assert.ErrorContains(t, err, "deadline")
	assert.Equal(t, p.server.Stats().Searches, int64(1))
	assert.Equal(t, p.mustSearch("all").status, http.StatusOK)
	p.server.SetStraggler(50)
	time.AfterFunc(20*time.Millisecond, p.server.Silence) // while the search runs
	ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = p.send(ctx, "/v1/search", `{"query":"all"}`)
	assert.ErrorContains(t, err, "deadline")
}

// Guards against a crash that leaves the server reachable or keeps its
// incarnation.
func TestCrashAndRestart(t *testing.T) {
	p := startProbe(t, fastService, 1)
	assert.Equal(t, p.mustSearch("all"+CrashMarker).status, http.StatusOK)
	p.server.SetCrash(true, 20*time.Millisecond)
	_, err := p.search("all" + CrashMarker)
	assert.Assert(t, err != nil)
	waitFor(t, func() bool { return p.server.Incarnation() == "renewal-search-s01-r0.2" })
	assert.Equal(t, p.mustSearch("all").status, http.StatusOK)
	p.server.Lose()
	_, err = p.search("all")
	assert.Assert(t, err != nil)
}

// Guards against reply faults that have no effect.
func TestReplyFaults(t *testing.T) {
	p := startProbe(t, fastService, 1, 2)
	p.server.SetReplyFault(&ReplyFault{Kind: ReplyTruncated})
	_, err := p.search("all")
	assert.Assert(t, err != nil)
	p.server.SetReplyFault(&ReplyFault{Kind: ReplyOtherSnapshot})
	assert.Equal(t, p.mustSearch("all").body.Snapshot, int64(2))
	p.server.SetReplyFault(&ReplyFault{Kind: ReplyCrossed})
	assert.Equal(t, p.mustSearch("all").body.Request, "another-request")
	assert.Equal(t, p.mustSearch("all", HeaderRequest, "r2").body.Request, "r1")
	p.server.SetReplyFault(&ReplyFault{Kind: ReplyCrossed, Every: 2})
	crossed := 0
	for i := range 4 {
		id := fmt.Sprintf("q%d", i)
		if p.mustSearch("all", HeaderRequest, id).body.Request != id {
			crossed++
		}
	}
	assert.Equal(t, crossed, 2)
}

// Guards against executions that aren't counted, which would hide duplicates.
func TestSubmissionsAreCounted(t *testing.T) {
	p := startProbe(t, fastService, 1)
	for _, operation := range []string{"t1", "t2"} {
		reply, err := p.send(context.Background(), "/v1/submit", `{"key":"k","payload":"fee 1"}`, HeaderOperation, operation)
		assert.NilError(t, err)
		assert.Assert(t, reply.body.Run && reply.body.Operation == operation)
	}
	runs := p.server.config.Runs
	assert.Equal(t, runs.Payloads("renewal-search", "fee 1"), 2)
	assert.Equal(t, runs.Operations()["t1"], 1)
	assert.Equal(t, runs.Duplicates(), 1)
}

// waitFor polls a condition that another goroutine brings about.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not reached")
}
