package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/oracle"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// fakeInstance answers by calling the first replica of each shard. Its faults
// break invariants on purpose.
type fakeInstance struct {
	spec   fleet.InstanceSpec
	server *http.Server

	hideLoss    bool // reports lost shards as covered
	wrongHits   bool // returns hits of another query
	mixVersions bool // asks one shard for another snapshot
	runTwice    bool // runs submissions twice
	denyRun     bool // refuses as not run what it has run

	// mixed counts the answers whose hits differ from those of the pinned snapshot, if it is
	// set. Servers may no longer have the other snapshot, or hold the same hits in both.
	mixed *atomic.Int32
}

func (i *fakeInstance) start(_ context.Context, spec fleet.InstanceSpec) (fleet.Instance, error) {
	started := *i
	started.spec = spec
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{team}/{service}/search", started.search)
	mux.HandleFunc("POST /v1/{team}/{service}/tickets", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"ticket":"t"}`)
	})
	mux.HandleFunc("POST /v1/{team}/{service}/submit", started.submit)
	started.server = &http.Server{Addr: spec.CallerAddress, Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = started.server.Serve(spec.Listeners.Caller) }()
	return &started, nil
}

func (i *fakeInstance) Ready() bool                        { return true }
func (i *fakeInstance) Shutdown(ctx context.Context) error { return i.server.Shutdown(ctx) }
func (i *fakeInstance) Kill()                              { _ = i.server.Close() }

func (i *fakeInstance) search(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Query string `json:"query"`
		Limit int    `json:"limit"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	if i.wrongHits {
		body.Query = "prefix:b"
	}
	team, service := r.PathValue("team"), r.PathValue("service")
	var manifest snapshot.Manifest
	var members membership.Members
	i.document("index/"+team+"/"+service, &manifest)
	i.document("members", &members)
	pinned := manifest.Snapshots[len(manifest.Snapshots)-1]
	answer := oracle.Answer{RequestID: fmt.Sprint(time.Now().UnixNano()), Team: team, Service: service, Snapshot: pinned.Version, BundleVersion: 1}
	answer.Coverage.DocumentsTotal = pinned.Documents()
	var pinnedHits []oracle.Hit // as answer.Hits, but all of the pinned snapshot
	var mu sync.Mutex
	var group sync.WaitGroup
	for n, p := range pinned.Partitions {
		version := pinned.Version
		if i.mixVersions && n == 0 {
			version--
		}
		server := members.BackendServers[slices.IndexFunc(members.BackendServers, func(b membership.BackendServer) bool {
			return b.Service == service && b.Shard == p.Shard
		})]
		group.Go(func() {
			ask := func(version int64) (hits []oracle.Hit, ok bool) {
				var reply struct{ Hits []oracle.Hit }
				ok = i.call(server.Address, "search", map[string]any{"query": body.Query, "limit": body.Limit}, map[string]string{
					"Sycamorelift-Request": answer.RequestID, "Sycamorelift-Shard": strconv.Itoa(p.Shard),
					"Sycamorelift-Snapshot": strconv.FormatInt(version, 10)}, &reply)
				return reply.Hits, ok
			}
			hits, ok := ask(version)
			ofPinned := hits
			if ok && version != pinned.Version {
				ofPinned, _ = ask(pinned.Version)
			}
			mu.Lock()
			defer mu.Unlock()
			answer.Shards++
			answer.Attempts++
			answer.Hits = append(answer.Hits, hits...)
			pinnedHits = append(pinnedHits, ofPinned...)
			if !ok && !i.hideLoss {
				answer.Coverage.Missing = append(answer.Coverage.Missing, oracle.Missing{Shard: p.Shard, From: p.From, To: p.To, Documents: p.Documents})
				return
			}
			answer.Coverage.Documents += p.Documents
		})
	}
	group.Wait()
	if i.denyRun {
		i.reply(w, map[string]any{"request_id": answer.RequestID, "refused": true, "run": "not-run"})
		return
	}
	answer.Hits = best(answer.Hits, body.Limit)
	if i.mixed != nil && !slices.Equal(answer.Hits, best(pinnedHits, body.Limit)) {
		i.mixed.Add(1)
	}
	answer.Coverage.Fraction = float64(answer.Coverage.Documents) / float64(answer.Coverage.DocumentsTotal)
	answer.Coverage.Complete = len(answer.Coverage.Missing) == 0
	i.reply(w, answer)
}

// best returns the hits with the greatest scores, limit at most.
func best(hits []oracle.Hit, limit int) []oracle.Hit {
	slices.SortFunc(hits, func(a, b oracle.Hit) int {
		if a.Score != b.Score {
			return int(1e9 * (b.Score - a.Score))
		}
		return bytes.Compare([]byte(a.Key), []byte(b.Key))
	})
	return hits[:min(limit, len(hits))]
}

func (i *fakeInstance) submit(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	_ = json.NewDecoder(r.Body).Decode(&body)
	var members membership.Members
	i.document("members", &members)
	server := members.BackendServers[slices.IndexFunc(members.BackendServers, func(b membership.BackendServer) bool {
		return b.Service == r.PathValue("service")
	})]
	var reply struct{ Result string }
	operation := map[string]string{"Sycamorelift-Operation": fmt.Sprint(time.Now().UnixNano())}
	i.call(server.Address, "submit", body, operation, &reply)
	if i.runTwice {
		i.call(server.Address, "submit", body, operation, &reply)
	}
	i.reply(w, map[string]any{"run": "run", "result": reply.Result})
}

func (i *fakeInstance) document(key string, into any) {
	response, err := http.Get(i.spec.ConfigURL + "/v1/keys/" + key)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(into)
}

func (i *fakeInstance) call(address, verb string, body any, headers map[string]string, into any) bool {
	data, _ := json.Marshal(body)
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/"+verb, bytes.NewReader(data))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into) == nil && response.StatusCode == http.StatusOK
}

func (i *fakeInstance) reply(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}
