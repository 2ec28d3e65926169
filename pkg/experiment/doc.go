// Package experiment implements the experiment command: open-loop load on
// in-process fleets, with a policy and a baseline in turn under the same seed
// and arrivals, and without the fault for comparison.
package experiment
