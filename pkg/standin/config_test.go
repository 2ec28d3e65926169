package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

func startConfig(t *testing.T) *ConfigService {
	service, err := StartConfigService("", "")
	assert.NilError(t, err)
	t.Cleanup(service.Stop)
	return service
}

func get(t *testing.T, address, path string, headers ...string) (int, string, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header.Get("ETag"), string(body)
}

// Guards against reads and watches that miss a published value.
func TestConfigReadAndWatch(t *testing.T) {
	service := startConfig(t)
	status, _, _ := get(t, service.Address(), "/v1/keys/bundle")
	assert.Equal(t, status, http.StatusNotFound)
	status, _, _ = get(t, service.Address(), "/v1/watch?after=0&wait=1ms")
	assert.Equal(t, status, http.StatusNotModified)
	watched := make(chan string)
	go func() {
		_, _, body := get(t, service.Address(), "/v1/watch?after=0&wait=5s")
		watched <- body
	}()
	waitFor(t, func() bool { return service.Stats().Pending == 1 })
	_, err := service.Publish("index/office/renewal-search", []byte("one"))
	assert.NilError(t, err)
	assert.Equal(t, <-watched, `{"revision":1,"keys":{"index/office/renewal-search":1}}`)
	status, etag, body := get(t, service.Address(), "/v1/keys/index/office/renewal-search")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, etag, `"1"`)
	assert.Equal(t, body, "one")
	assert.Equal(t, service.Stats().Calls, int64(4))
	_, err = service.Publish("big", make([]byte, ConfigValueLimit+1))
	assert.ErrorContains(t, err, "above the limit")
}

// Guards against faults that readers don't see.
func TestConfigFaults(t *testing.T) {
	service := startConfig(t)
	_, _ = service.Publish("bundle", []byte("old"))
	_, _ = service.Publish("bundle", []byte("new"))
	service.SetStale(1)
	_, etag, body := get(t, service.Address(), "/v1/keys/bundle")
	assert.Equal(t, etag+body, `"1"old`)
	service.SetStale(0)
	service.SetSplit(map[string]int64{"zone-b": 1, service.SecondAddress(): 1})
	_, _, body = get(t, service.Address(), "/v1/keys/bundle", ZoneHeader, "zone-a")
	assert.Equal(t, body, "new")
	_, _, body = get(t, service.Address(), "/v1/keys/bundle", ZoneHeader, "zone-b")
	assert.Equal(t, body, "old")
	_, _, body = get(t, service.SecondAddress(), "/v1/keys/bundle")
	assert.Equal(t, body, "old")
	service.SetDown(OutageReset)
	status, _, _ := get(t, service.Address(), "/v1/keys/bundle")
	assert.Equal(t, status, 0)
	service.Outage(OutageError, time.Millisecond)
	waitFor(t, func() bool {
		status, _, _ := get(t, service.Address(), "/v1/keys/bundle")
		return status == http.StatusOK
	})
}

// Guards against a read limit that lets more calls through than the platform.
func TestConfigReadLimit(t *testing.T) {
	limit := &readLimit{perSecond: 2000}
	now := time.Unix(100, 0)
	admitted := 0
	for range 2100 {
		if limit.admit(now) {
			admitted++
		}
	}
	assert.Equal(t, admitted, 2000)
	assert.Assert(t, limit.admit(now.Add(time.Second)))
}

// Guards against admin requests that switch nothing.
func TestAdminEndpoints(t *testing.T) {
	service := startConfig(t)
	admin := httptest.NewServer(NewConfigAdmin(service))
	defer admin.Close()
	put, err := http.NewRequest(http.MethodPut, admin.URL+"/keys/bundle", strings.NewReader("x"))
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(put)
	assert.NilError(t, err)
	assert.Equal(t, service.Revision(), int64(1))
	_, err = http.Post(admin.URL+"/faults/down?kind=error", "", nil)
	assert.NilError(t, err)
	status, _, _ := get(t, service.Address(), "/v1/keys/bundle")
	assert.Equal(t, status, http.StatusServiceUnavailable)

	p := startProbe(t, fastService, 1)
	backend := httptest.NewServer(NewBackendAdmin(p.server))
	defer backend.Close()
	for _, fault := range []string{"straggler?factor=2", "silence", "drain", "end-drain", "cold?for=1s", "reply?kind=late", "snapshots?versions=2,3", "crash-query", "lose"} {
		response, err := http.Post(backend.URL+"/faults/"+fault, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, fault)
	}
	assert.DeepEqual(t, p.server.Snapshots(), []int64{2, 3})
	assert.Equal(t, p.server.Incarnation(), "")
	response, err := http.Post(backend.URL+"/faults/none", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}

// Guards against published documents that don't match what the servers serve,
// also across a repartition.
func TestDeploymentPublishes(t *testing.T) {
	d, err := StartDeployment(AgendaSerena(), 1, "booking-search", "profiles")
	assert.NilError(t, err)
	defer d.Stop()
	assert.NilError(t, d.SetInstances([]membership.Instance{{ID: "i1", State: membership.StateLive}}))
	assert.Equal(t, len(d.Servers), 45)
	var members membership.Members
	_, _, body := get(t, d.Config.Address(), "/v1/keys/members")
	assert.NilError(t, json.Unmarshal([]byte(body), &members))
	assert.Equal(t, len(members.BackendServers), 45)
	assert.NilError(t, d.Repartition("booking-search", time.Millisecond))
	var manifest snapshot.Manifest
	_, _, body = get(t, d.Config.Address(), "/v1/keys/index/agenda-serena/booking-search")
	assert.NilError(t, json.Unmarshal([]byte(body), &manifest))
	assert.Equal(t, len(manifest.Snapshots), 1)
	assert.Equal(t, manifest.Snapshots[0].Version, int64(2))
	assert.Equal(t, manifest.Snapshots[0].Documents(), int64(len(d.Data("booking-search").All(2))))
	server, err := d.Server("booking-search", 3, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, server.Snapshots(), []int64{2})
	assert.DeepEqual(t, d.Known("booking-search"), []int64{1, 2})
}
