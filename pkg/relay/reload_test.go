package relay

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// Guards against a reload that ends the process, that replaces valid settings by invalid
// ones, or that logs nothing.
func TestReload(t *testing.T) {
	var log bytes.Buffer
	r := &Instance{logger: slog.New(slog.NewTextHandler(&log, nil))}
	r.settings.Store(&settings.Relay{Seeds: []string{"10.0.0.1:1"}, Store: "10.0.0.9:1"})
	reload := func(s *settings.Relay, err error) string {
		log.Reset()
		r.reload(func() (*settings.Relay, error) { return s, err }, true)
		return log.String()
	}
	assert.Assert(t, strings.Contains(reload(nil, errors.New("broken")), "settings not reloaded"))
	assert.DeepEqual(t, r.seeds(), []string{"10.0.0.1:1"})
	same := &settings.Relay{Seeds: []string{"10.0.0.1:1"}, Store: "10.0.0.9:1"}
	assert.Assert(t, strings.Contains(reload(same, nil), "changed=false"))
	seeds := &settings.Relay{Seeds: []string{"10.0.0.2:1"}, Store: "10.0.0.9:1"}
	assert.Assert(t, strings.Contains(reload(seeds, nil), "seeds_changed=true restart_needed=false"))
	assert.DeepEqual(t, r.seeds(), []string{"10.0.0.2:1"})
	store := &settings.Relay{Seeds: []string{"10.0.0.2:1"}, Store: "10.0.0.8:1"}
	assert.Assert(t, strings.Contains(reload(store, nil), "seeds_changed=false restart_needed=true"))
}
