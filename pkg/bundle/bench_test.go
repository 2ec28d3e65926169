package bundle

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
)

// benchPayload is a bundle of equal teams with one service each.
func benchPayload(teams, callers int) []byte {
	var text strings.Builder
	text.WriteString("version: 7\nplatform: {max_deadline: 10s, max_hedge_budget: 0.05, max_crash_limit: 2}\nteams:\n")
	for t := range teams {
		fmt.Fprintf(&text, "  - name: team-%d\n    services:\n", t)
		text.WriteString("      - {name: search, kind: search, slots: 2, connections: 25, deadline: 1s, crash_limit: 2}\n")
		text.WriteString("    classes:\n      - {name: clerk, priority: 1, min_coverage: 0.9, deadline: 1s, services: [search]}\n    callers:\n")
		for c := range callers {
			fmt.Fprintf(&text, "      - {name: caller-%d, class: clerk, token_sha256: \"%064x\"}\n", c, t*callers+c+1)
		}
	}
	return []byte(text.String())
}

func benchVerify(b *testing.B, teams, callers int) {
	author, err := NewAuthor(rand.NewChaCha8([32]byte{1}))
	if err != nil {
		b.Fatal(err)
	}
	data, err := author.Publish(benchPayload(teams, callers))
	if err != nil {
		b.Fatal(err)
	}
	trust := author.Trust()
	b.ReportAllocs()
	defer capacity.MeasureCPU(b)()
	for b.Loop() {
		if _, err := Verify(data, trust); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/1000, "kB/bundle")
}

// BenchmarkVerify reads and verifies a published bundle, as an instance does
// when it applies one: by number of teams with 4 callers each, and by size with
// one team.
func BenchmarkVerify(b *testing.B) {
	for _, teams := range []int{2, 8, 32, 128} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) { benchVerify(b, teams, 4) })
	}
	for _, callers := range []int{40, 200, 1000, 4000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchVerify(b, 1, callers) })
	}
}
