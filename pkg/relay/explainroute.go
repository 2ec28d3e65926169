package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// explainRoutePath is the path of the operator listener that explains where a request would
// go. The query has the fields host and path.
const explainRoutePath = "/v1/explain-route"

// operatorHandler serves the metrics and the explanations. It only reads.
func (r *Instance) operatorHandler(engine *forward.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", r.registry.Handler())
	mux.HandleFunc("GET "+explainRoutePath, func(w http.ResponseWriter, request *http.Request) {
		table := r.follower.Table()
		if table == nil {
			http.Error(w, "no table is in force", http.StatusServiceUnavailable)
			return
		}
		query := request.URL.Query()
		explanation := engine.ExplainRoute(table, table.Match(query.Get("host"), query.Get("path")), time.Now())
		explanation.Instance = r.options.Settings.Instance.ID
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := json.NewEncoder(w).Encode(explanation); err != nil {
			r.logger.Debug("explanation of a route not delivered", "error", err)
		}
	})
	return mux
}
