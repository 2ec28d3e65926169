package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 40, Steps: 60}) }

const testService = "t/s"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSelector() *Selector { return New(Config{}, rand.New(rand.NewPCG(1, 2))) }

func shard(number, replicas int) []membership.BackendServer {
	out := make([]membership.BackendServer, replicas)
	for i := range out {
		out[i] = membership.BackendServer{ID: fmt.Sprintf("%d-%d", number, i), Team: "t", Service: "s", Shard: number, Replica: i, Zone: "z"}
	}
	return out
}

// observe records the start and the outcome of one attempt.
func observe(s *Selector, id string, latency time.Duration, status peerpb.ResultStatus, now time.Time) {
	s.Begin(id)
	s.Done(Observation{ServerID: id, Service: testService, Latency: latency, Status: status}, now)
}

// Guards against ejecting more than half of a shard's replicas, against ejecting
// any while most servers of the service fail, and against Order losing or
// repeating a replica.
func TestEjectionFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newSelector(), epoch
		shards := make([][]membership.BackendServer, 3)
		var all []membership.BackendServer
		for i := range shards {
			shards[i] = shard(i, rapid.IntRange(1, 5).Draw(t, "replicas"))
			all = append(all, shards[i]...)
			s.Order(now, shards[i], "z")
		}
		statuses := []peerpb.ResultStatus{
			peerpb.ResultStatus_OK, peerpb.ResultStatus_CRASHED, peerpb.ResultStatus_UNREACHABLE, peerpb.ResultStatus_DEADLINE,
		}
		t.Repeat(map[string]func(*rapid.T){
			"done": func(t *rapid.T) {
				id := rapid.SampledFrom(all).Draw(t, "server").ID
				latency := time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
				status := rapid.SampledFrom(statuses).Draw(t, "status")
				for range rapid.IntRange(1, 4).Draw(t, "times") {
					observe(s, id, latency, status, now)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				ejected := 0
				for _, server := range all {
					if now.Before(s.servers[server.ID].ejection.until) {
						ejected++
					}
				}
				for _, replicas := range shards {
					checkOrder(t, s, replicas, now, 2*ejected > len(all))
				}
			},
		})
	})
}

func checkOrder(t *rapid.T, s *Selector, replicas []membership.BackendServer, now time.Time, mostEjected bool) {
	ejected := make(map[string]bool)
	for _, id := range s.Ejected(now, replicas) {
		ejected[id] = true
	}
	if 2*len(ejected) > len(replicas) || mostEjected && len(ejected) > 0 {
		t.Fatalf("%d of %d replicas ejected, most servers ejected %v", len(ejected), len(replicas), mostEjected)
	}
	unended := 0
	for _, server := range replicas {
		if now.Before(s.servers[server.ID].ejection.until) {
			unended++
		}
	}
	if !mostEjected && len(ejected) != min(unended, len(replicas)/2) {
		t.Fatalf("%d replicas ejected of %d whose ejection has not ended", len(ejected), unended)
	}
	seen := make(map[string]bool)
	for i, server := range s.Order(now, replicas, "z") {
		seen[server.ID] = true
		if ejected[server.ID] != (i >= len(replicas)-len(ejected)) {
			t.Fatalf("replica %s at position %d, ejected %v", server.ID, i, ejected)
		}
	}
	if len(seen) != len(replicas) {
		t.Fatalf("Order returned %d of %d replicas", len(seen), len(replicas))
	}
}

// Guards against hedges and retries beyond their budgets, and against refusing
// some that the budgets allow.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSelector()
		s.Order(epoch, shard(0, 2), "z")
		credit, first, retries, pending := 0, 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				for range rapid.IntRange(1, 3000).Draw(t, "attempts") {
					s.Begin("0-0")
					if pending > 0 {
						pending--
						continue
					}
					first++
					credit = min(credit+1, maxCredit)
				}
			},
			"hedge": func(t *rapid.T) {
				cost := rapid.SampledFrom([]int{20, 10, 4}).Draw(t, "attempts per hedge")
				for range rapid.IntRange(1, 300).Draw(t, "hedges") {
					allowed := s.AllowHedge(testService, 1/float64(cost))
					if allowed != (credit >= cost) {
						t.Fatalf("hedge allowed %v at credit %d of %d", allowed, credit, cost)
					}
					if allowed {
						credit -= cost
						pending++
					}
				}
			},
			"retry": func(t *rapid.T) {
				for range 10 {
					allowed := s.AllowRetry(testService)
					if allowed {
						retries++
						pending++
					}
					budget := minRetryTokens + 0.1*float64(first)
					if float64(retries) > budget+0.001 {
						t.Fatalf("%d retries of %d first attempts", retries, first)
					}
					if !allowed && float64(retries) < budget-1.001 && first < maxCredit {
						t.Fatalf("retry refused after %d of %.1f", retries, budget)
					}
				}
			},
		})
	})
}
