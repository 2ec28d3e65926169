package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// NewBackendAdmin returns the fault injection endpoint of a backend server,
// for a loopback listener of its own: GET /stats, GET /member and
// POST /faults/NAME with the fault's parameters in the query string.
func NewBackendAdmin(server *BackendServer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(writer http.ResponseWriter, _ *http.Request) {
		writeAdmin(writer, server.Stats(), nil)
	})
	mux.HandleFunc("GET /member", func(writer http.ResponseWriter, _ *http.Request) {
		writeAdmin(writer, server.Member(), nil)
	})
	mux.HandleFunc("POST /faults/{name}", func(writer http.ResponseWriter, request *http.Request) {
		params := adminParams{request}
		writeAdmin(writer, adminDone{Done: true}, server.applyFault(request.PathValue("name"), params))
	})
	return mux
}

// applyFault switches one fault by name.
func (s *BackendServer) applyFault(name string, params adminParams) error {
	switch name {
	case "straggler":
		s.SetStraggler(params.float("factor", 10))
	case "lose":
		s.Lose()
	case "restore":
		return s.Restore()
	case "silence":
		s.Silence()
	case "crash":
		s.Crash(params.duration("restart", DefaultRestartDelay))
	case "crash-query":
		s.SetCrash(params.flag("on"), params.duration("restart", DefaultRestartDelay))
	case "drain":
		s.Drain(params.duration("grace", 0))
	case "end-drain":
		s.EndDrain()
	case "cold":
		s.SetColdStart(params.duration("for", time.Second))
	case "reply":
		s.SetReplyFault(params.replyFault())
	case "snapshots":
		return s.applySnapshots(params.text("versions"))
	default:
		return eris.Errorf("no fault is named %q", name)
	}
	return nil
}

func (s *BackendServer) applySnapshots(text string) error {
	versions, err := ParseVersions(text)
	if err != nil {
		return err
	}
	s.SetSnapshots(versions...)
	return nil
}

// ParseVersions parses a list of snapshot versions such as 7,8.
func ParseVersions(text string) ([]int64, error) {
	var versions []int64
	for part := range strings.SplitSeq(text, ",") {
		version, err := strconv.ParseInt(part, 10, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "snapshot version %q", part)
		}
		versions = append(versions, version)
	}
	return versions, nil
}
