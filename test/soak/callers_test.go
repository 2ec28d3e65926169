package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// patience is how long callers wait.
const patience = 2 * time.Second

// answer is what a caller has seen of one attempt.
type answer struct {
	id, path string
	status   int // 0 is no answer
	instance string
	missing  int
}

// callers send requests to all instances and check each answer at once. They use
// connections until the process is gone.
type callers struct {
	shards   []string
	required int
	client   *http.Client
	stop     chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup

	mu       sync.Mutex
	answers  []answer
	problems []string
}

func newCallers(shards []string, required int) *callers {
	return &callers{shards: shards, required: required, stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// send starts a caller of one instance.
func (c *callers) send(instance, address string, random *rand.Rand) {
	c.running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-c.stop:
				return
			case <-time.After(time.Duration(5+random.IntN(30)) * time.Millisecond):
			}
			path := "/all/x"
			if random.IntN(3) == 0 {
				path = "/once/x"
			}
			id := fmt.Sprintf("%s-%d-%d", instance, n, random.Uint32())
			wait := patience
			if random.IntN(20) == 0 {
				wait = 15 * time.Millisecond // leaves early
			}
			c.keep(c.ask(instance, address, path, id, wait))
		}
	})
}

func (c *callers) keep(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

func (c *callers) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *callers) ask(instance, address, path, id string, wait time.Duration) answer {
	a := answer{id: id, path: path, instance: instance}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	method := http.MethodGet
	if path == "/once/x" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader("body"))
	if err != nil {
		c.problem("request not built: %v", err)
		return a
	}
	request.GetBody = nil // net/http must not repeat it by itself
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderTimeoutMs, strconv.FormatInt(patience.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.status = response.StatusCode
	c.check(&a, response.Header, body)
	return a
}

// check judges one answer by itself.
func (c *callers) check(a *answer, header http.Header, body []byte) {
	switch {
	case a.status == http.StatusNotFound:
		c.problem("%s: 404 for a route that all versions have", a.id)
	case a.status != http.StatusOK:
	case a.path == "/once/x":
		if header.Get(platformtest.HeaderProof) != platformtest.Proof("one", a.id) || string(body) != platformtest.Record("one") {
			c.problem("%s: wrong answer %q with proof %q", a.id, body, header.Get(platformtest.HeaderProof))
		}
	default:
		c.checkMerged(a, header, body)
	}
}

func (c *callers) checkMerged(a *answer, header http.Header, body []byte) {
	var records []string
	seen := map[string]bool{}
	for _, proof := range strings.Split(header.Get(platformtest.HeaderPartProofs), ", ") {
		at := slices.IndexFunc(c.shards, func(s string) bool { return platformtest.Proof(s, a.id) == proof })
		if at < 0 || seen[proof] {
			c.problem("%s: proof %q is wrong or repeated", a.id, proof)
			return
		}
		seen[proof] = true
		records = append(records, platformtest.Record(c.shards[at]))
	}
	missing, err := strconv.Atoi(header.Get(platformtest.HeaderMissingParts))
	if err != nil || missing+len(records) != len(c.shards) || len(records) < c.required {
		c.problem("%s: %d parts, %q missing, %d required", a.id, len(records), header.Get(platformtest.HeaderMissingParts), c.required)
	}
	a.missing = missing
	slices.SortFunc(records, func(x, y string) int { return strings.Compare(y, x) })
	want := strings.Join(records[:min(top, len(records))], "")
	if !bytes.Equal(body, []byte(want)) {
		c.problem("%s: body %q, want %q", a.id, body, want)
	}
}

// end stops the callers and waits for them.
func (c *callers) end() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.running.Wait()
}

// finish stops the callers and judges what has run against what was promised.
func (c *callers) finish(servers []*platformtest.Server) (problems []string, answers []answer) {
	c.end()
	time.Sleep(2 * patience) // whatever was promised not to run must not run later either
	runs := map[string]int{}
	for _, s := range servers {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	for _, a := range c.answers {
		if a.path == "/once/x" && runs[a.id] > 1 {
			c.problem("%s ran %d times", a.id, runs[a.id])
		}
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if promised && runs[a.id] > 0 {
			c.problem("%s: answered %d by %s and ran %d times", a.id, a.status, a.instance, runs[a.id])
		}
	}
	return c.problems, c.answers
}
