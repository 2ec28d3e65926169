// Package settings holds the settings of one instance: where it runs, which
// addresses it uses and whom it trusts. Everything about requests is in the
// bundle instead. Each part of the settings has its defaults and checks beside
// its struct.
package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Settings are the settings of one instance. They don't change while the
// process runs.
type Settings struct {
	Instance         Instance
	Listen           Listen
	ConfigService    ConfigService
	Seeds            []string // peer addresses to ask when the configuration service is down at start
	Trust            bundle.Trust // persons whose bundle signatures count
	TLS              TLS
	Log              Log
	Traces           Traces
	Limits           Limits
	Shutdown         Shutdown
	Freshness        time.Duration // age at which a view must be confirmed before decisions
	BootstrapTimeout time.Duration // to learn the control documents before the process gives up
}

const (
	defaultFreshness = 2 * time.Second
	// A bundle takes effect everywhere within 3 s, so no older view may decide.
	longestFreshness        = 3 * time.Second
	shortestFreshness       = 100 * time.Millisecond
	defaultBootstrapTimeout = time.Minute
	longestBootstrapTimeout = time.Hour
)

// Default returns settings that lack only what has no default: instance,
// listen addresses, configuration service and trusted persons.
func Default() Settings {
	return Settings{
		Log:              defaultLog(),
		Traces:           defaultTraces(),
		Limits:           defaultLimits(),
		Shutdown:         defaultShutdown(),
		Freshness:        defaultFreshness,
		BootstrapTimeout: defaultBootstrapTimeout,
	}
}

// Load reads and checks a settings file. Files named in it are relative to its
// directory. The error is a finding.List with everything that is wrong, unless
// the file can't be read.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse is Load with the file's content.
func Parse(file string, data []byte) (*Settings, error) {
	doc := yamldoc.Parse(file, data)
	s := Default()
	s.read(doc.Root(""), filepath.Dir(file))
	if err := doc.Findings().Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) read(v yamldoc.Value, directory string) {
	o := v.Object()
	s.Instance.read(o.Required("instance"))
	s.Listen.read(o.Required("listen"))
	s.ConfigService.read(o.Required("config_service"))
	readSeeds(o.Optional("seeds"), &s.Seeds)
	s.Trust = bundle.ParseTrust(o.Required("trust"))
	s.TLS.read(o.Optional("tls"), directory)
	s.Log.read(o.Optional("log"))
	s.Traces.read(o.Optional("traces"), directory)
	s.Limits.read(o.Optional("limits"))
	s.Shutdown.read(o.Optional("shutdown"))
	o.Optional("freshness").Duration(&s.Freshness, durations(shortestFreshness, longestFreshness))
	o.Optional("bootstrap_timeout").Duration(&s.BootstrapTimeout, durations(time.Second, longestBootstrapTimeout))
	o.Close()
}

func durations(shortest, longest time.Duration) yamldoc.Range[time.Duration] {
	return yamldoc.Range[time.Duration]{Min: shortest, Max: longest}
}
