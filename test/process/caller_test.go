package process

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

// callTimeout exceeds the deadlines of all classes.
const callTimeout = 5 * time.Second

// caller chooses its entry instance itself.
type caller struct {
	t    *testing.T
	http http.Client
}

// reply holds the fields of all replies that the tests look at.
type reply struct {
	Status        int    `json:"-"`
	Ticket        string `json:"ticket"`
	Issuer        string `json:"issuer"`
	Run           string `json:"run"`
	Result        string `json:"result"`
	Replayed      bool   `json:"replayed"`
	BundleVersion int64  `json:"bundle_version"`
}

func newCaller(t *testing.T) *caller {
	return &caller{t: t, http: http.Client{Timeout: callTimeout}}
}

func (c *caller) post(entry *daemon, path, ticket string, body map[string]any) reply {
	data, err := json.Marshal(body)
	assert.NilError(c.t, err)
	url := "http://" + entry.spec.CallerAddress + "/v1/" + team + "/" + path
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	assert.NilError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+submittingClass().Token())
	if ticket != "" {
		request.Header.Set("Sycamorelift-Ticket", ticket)
	}
	response, err := c.http.Do(request)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	received := reply{Status: response.StatusCode}
	assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&received))
	return received
}

func (c *caller) ticket(entry *daemon, key string) reply {
	issued := c.post(entry, submissions+"/tickets", "", map[string]any{"key": key})
	assert.Equal(c.t, issued.Status, http.StatusOK)
	return issued
}

func (c *caller) submit(entry *daemon, ticket, key, payload string) reply {
	return c.post(entry, submissions+"/submit", ticket, map[string]any{"key": key, "payload": payload})
}

func (c *caller) search(entry *daemon) reply {
	return c.post(entry, searches+"/search", "", map[string]any{"query": "prefix:a", "limit": 20})
}

// submittingClass returns the class that may submit and search.
func submittingClass() fleet.Class {
	for _, class := range fleet.Classes(team) {
		if slices.Contains(class.Services, submissions) {
			return class
		}
	}
	return fleet.Class{}
}
