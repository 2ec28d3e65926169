package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const relayYAML = `instance: {id: edge-a-1, zone: a, region: r}
listen: {caller: 10.1.0.9:8104, readiness: 10.1.0.9:8108, peer: 10.1.0.9:8106, operator: 10.1.0.9:9464}
seeds: ["10.1.0.9:8106"]
store: "10.200.1.7:8102"
cores: 0.4
memory_mb: 284
bounds: {drain: 3000ms, grace: 6s, extra_ratio: 0.2, extra_allowance: 54, extra_window: 10s}
`

// Guards against settings that are read into other fields.
func TestRelaySettings(t *testing.T) {
	got, err := ParseRelay("relay.yaml", []byte(relayYAML))
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, Relay{
		Instance:    Instance{ID: "edge-a-1", Zone: "a", Region: "r"},
		Listen:      RelayListen{Caller: "10.1.0.9:8104", Readiness: "10.1.0.9:8108", Peer: "10.1.0.9:8106", Operator: "10.1.0.9:9464"},
		Seeds:       []string{"10.1.0.9:8106"},
		Store:       "10.200.1.7:8102",
		Memory:      284 << 20,
		Cores:       0.4,
		Bounds:      RelayBounds{Drain: 3 * time.Second, Grace: 6 * time.Second, ExtraRatio: 0.2, ExtraAllowance: 54, ExtraWindow: 10 * time.Second, WarmUpOverage: 1},
		ZoneTraffic: ZoneTraffic{CostPerKiB: 10 * time.Millisecond},
	})
}

// Guards against a switch or a cost between zones that has no effect, and against a cost
// without a unit.
func TestZoneTraffic(t *testing.T) {
	got, err := ParseRelay("relay.yaml", []byte(relayYAML+"zone_traffic: {adaptive: true, cost_per_kib: 2500us}\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, got.ZoneTraffic, ZoneTraffic{Adaptive: true, CostPerKiB: 2500 * time.Microsecond})
	_, err = ParseRelay("relay.yaml", []byte(relayYAML+"zone_traffic: {cost_per_kib: 2}\n"))
	assert.ErrorContains(t, err, "zone_traffic.cost_per_kib")
}

// Guards against settings of the warm-up that are required or read into other fields.
func TestRelayWarmUpSettings(t *testing.T) {
	got, err := ParseRelay("relay.yaml", []byte(relayYAML+"warmup_overage: 1.5\nwarmup_slack: 5\n"))
	assert.NilError(t, err)
	assert.Equal(t, got.Bounds.WarmUpOverage, 1.5)
	assert.Equal(t, got.Bounds.WarmUpSlack, 5.0)
}

// Guards against refusals in an overload that the settings do not ask for: on two deployments they
// cost more requests in time than they saved.
func TestRelayRefusesInOverloadOnRequest(t *testing.T) {
	for text, want := range map[string]bool{"": false, "refuse_in_overload: false\n": false, "refuse_in_overload: true\n": true} {
		got, err := ParseRelay("relay.yaml", []byte(relayYAML+text))
		assert.NilError(t, err)
		assert.Equal(t, got.RefuseInOverload, want, text)
	}
}

// Guards against a bound on bytes that is not taken over, and against none without the setting.
func TestRelayBoundsOnBytes(t *testing.T) {
	got, err := ParseRelay("relay.yaml", []byte(relayYAML))
	assert.NilError(t, err)
	assert.Equal(t, got.RequestBytes(), int64(71<<20))
	got, err = ParseRelay("relay.yaml", []byte(relayYAML+"max_request_bytes_mib: 24\n"))
	assert.NilError(t, err)
	assert.Equal(t, got.RequestBytes(), int64(24<<20))
	_, err = ParseRelay("relay.yaml", []byte(relayYAML+"max_request_bytes_mib: 1\n"))
	assert.ErrorContains(t, err, "max_request_bytes_mib")
}

// Guards against reporting one finding at a time, or none.
func TestRelaySettingsReportEveryFinding(t *testing.T) {
	broken := strings.NewReplacer("cores: 0.4", "cores: -1", "grace: 6s", "grace: 6", "10.200.1.7:8102", "store", "zone: a", "zone: 7").Replace(relayYAML)
	_, err := ParseRelay("relay.yaml", []byte(broken))
	for _, place := range []string{"relay.yaml:1:", "instance.zone", "relay.yaml:4:", "store", "cores", "bounds.grace"} {
		assert.ErrorContains(t, err, place)
	}
	assert.Equal(t, strings.Count(err.Error(), "\n"), 3)
}

// Guards against a region of a zone that is not read, and against settings of a deployment that
// states no regions and is refused.
func TestRelayZones(t *testing.T) {
	for text, zones := range map[string]map[string]string{
		"zones: {\"z0\": \"r1\", \"z1\": \"r2\"}\n": {"z0": "r1", "z1": "r2"},
		"zones: \n":     nil,
		"zones: null\n": nil,
		"":              nil,
	} {
		got, err := ParseRelay("relay.yaml", []byte(relayYAML+text))
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Zones, zones)
	}
	for _, broken := range []string{"zones: [z0]\n", "zones: {z0: 1}\n", "zones: {z0: ''}\n"} {
		_, err := ParseRelay("relay.yaml", []byte(relayYAML+broken))
		assert.ErrorContains(t, err, "zones")
	}
}
