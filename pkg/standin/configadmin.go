package standin

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// NewConfigAdmin returns the admin endpoint of a configuration service, for a
// loopback listener of its own: GET /stats, PUT /keys/KEY to publish a value
// and POST /faults/NAME with the fault's parameters in the query string.
func NewConfigAdmin(service *ConfigService) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(writer http.ResponseWriter, _ *http.Request) {
		writeAdmin(writer, service.Stats(), nil)
	})
	mux.HandleFunc("PUT /keys/{key...}", func(writer http.ResponseWriter, request *http.Request) {
		data, err := io.ReadAll(io.LimitReader(request.Body, ConfigValueLimit+1))
		if err != nil {
			writeAdmin(writer, nil, err)
			return
		}
		revision, err := service.Publish(request.PathValue("key"), data)
		writeAdmin(writer, adminRevision{Revision: revision}, err)
	})
	mux.HandleFunc("POST /faults/{name}", func(writer http.ResponseWriter, request *http.Request) {
		params := adminParams{request}
		writeAdmin(writer, adminDone{Done: true}, service.applyFault(request.PathValue("name"), params))
	})
	return mux
}

type adminRevision struct {
	Revision int64 `json:"revision"`
}

func (s *ConfigService) applyFault(name string, params adminParams) error {
	switch name {
	case "down":
		s.SetDown(params.outage())
	case "up":
		s.SetUp()
	case "outage":
		s.Outage(params.outage(), params.duration("for", 0))
	case "stale":
		s.SetStale(params.integer("revision"))
	case "split":
		s.SetSplit(map[string]int64{params.text("reader"): params.integer("revision")})
	case "end-split":
		s.SetSplit(nil)
	default:
		return eris.Errorf("no fault is named %q", name)
	}
	return nil
}

func (p adminParams) outage() OutageKind {
	if kind := OutageKind(p.text("kind")); kind != "" {
		return kind
	}
	return OutageReset
}
