package instance

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

// statusReply is the body of GET /v1/status.
type statusReply struct {
	Instance      string            `json:"instance"`
	Incarnation   string            `json:"incarnation"`
	Zone          string            `json:"zone"`
	State         string            `json:"state"`
	Ready         bool              `json:"ready"`
	BundleVersion int64             `json:"bundle_version"`
	BundleDigest  string            `json:"bundle_digest"`
	Signers       map[string]string `json:"signers"` // person by section
	Instances     int               `json:"instances"`
	OwnedServers  int               `json:"owned_backend_servers"`
	LiveTickets   int               `json:"live_tickets"`
	InFlight      int               `json:"in_flight"`
	Documents     []documentReply   `json:"documents"`
}

// documentReply is the version of one control document.
type documentReply struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
}

// operatorHandler serves the read-only operator interface.
func (i *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "live") })
	mux.HandleFunc("GET /readyz", i.readyz)
	mux.HandleFunc("GET /v1/status", i.status)
	mux.Handle("GET /debug/vars", i.registry.Handler())
	return mux
}

func (i *Instance) readyz(w http.ResponseWriter, _ *http.Request) {
	if !i.lifecycle.Ready() {
		writeText(w, http.StatusServiceUnavailable, i.lifecycle.State().String())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

func (i *Instance) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(i.currentStatus()); err != nil {
		i.logger.Debug("status not delivered", "error", err)
	}
}

func (i *Instance) currentStatus() statusReply {
	now := time.Now()
	reply := statusReply{
		Instance:     i.self.ID,
		Incarnation:  i.incarnation,
		Zone:         i.self.Zone,
		State:        i.lifecycle.State().String(),
		Ready:        i.lifecycle.Ready(),
		Instances:    len(i.view.UsableInstances(now)),
		OwnedServers: len(i.view.OwnedServers(now)),
		LiveTickets:  i.ledger.LiveTickets(),
		InFlight:     i.lifecycle.InFlight(),
	}
	if verified, ok := i.store.Bundle().(*bundle.Verified); ok {
		reply.BundleVersion, reply.BundleDigest, reply.Signers = verified.Version(), verified.Digest, verified.Signers
	}
	for _, v := range i.store.Versions() {
		reply.Documents = append(reply.Documents, documentReply{Key: v.Key, Revision: v.Revision, Digest: v.Digest})
	}
	return reply
}
