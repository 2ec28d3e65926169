package process

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

// submitterTimeout exceeds the deadline of the class that submits.
const submitterTimeout = 5 * time.Second

// submitter is a caller that chooses its entry instance itself.
type submitter struct {
	t    *testing.T
	http http.Client
}

// reply holds the fields of all replies to tickets and submissions.
type reply struct {
	Status   int    `json:"-"`
	Ticket   string `json:"ticket"`
	Issuer   string `json:"issuer"`
	Run      string `json:"run"`
	Result   string `json:"result"`
	Replayed bool   `json:"replayed"`
}

func newSubmitter(t *testing.T) *submitter {
	return &submitter{t: t, http: http.Client{Timeout: submitterTimeout}}
}

func (s *submitter) post(entry *daemon, verb, ticket string, body map[string]string) reply {
	data, err := json.Marshal(body)
	assert.NilError(s.t, err)
	url := "http://" + entry.spec.CallerAddress + "/v1/" + team + "/" + submissions + "/" + verb
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	assert.NilError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+submittingClass().Token())
	if ticket != "" {
		request.Header.Set("Sycamorelift-Ticket", ticket)
	}
	response, err := s.http.Do(request)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	received := reply{Status: response.StatusCode}
	assert.NilError(s.t, json.NewDecoder(response.Body).Decode(&received))
	return received
}

func (s *submitter) ticket(entry *daemon, key string) reply {
	issued := s.post(entry, "tickets", "", map[string]string{"key": key})
	assert.Equal(s.t, issued.Status, http.StatusOK)
	return issued
}

func (s *submitter) submit(entry *daemon, ticket, key, payload string) reply {
	return s.post(entry, "submit", ticket, map[string]string{"key": key, "payload": payload})
}

func submittingClass() fleet.Class {
	for _, class := range fleet.Classes(team) {
		for _, service := range class.Services {
			if service == submissions {
				return class
			}
		}
	}
	return fleet.Class{}
}
