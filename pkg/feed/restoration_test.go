package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards, for items of any kind, against dropping at once what a copy lacks, against keeping it
// for longer than the writers need, and against bringing back what had gone.
func TestItemsInForceAfterARestore(t *testing.T) {
	listed := func(key, value string, revision int64) *Item {
		return &Item{Key: key, Value: []byte(value), Revision: revision}
	}
	removed := func(key, value string, revision int64) *Item {
		return &Item{Key: key, Value: []byte(value), Revision: revision, Removed: true}
	}
	const server, evacuation = "server/a", "evacuate/z1"
	for name, c := range map[string]struct {
		key               string
		held, copied      *Item
		first, afterwards string // values in force; empty is none
	}{
		"server that the copy lacks":            {server, listed(server, "live/1/1", 90), nil, "live/1/1", ""},
		"evacuation that the copy lacks":        {evacuation, listed(evacuation, "{}", 90), nil, "{}", ""},
		"server that had gone":                  {server, removed(server, "live/1/1", 90), listed(server, "live/1/1", 40), "", ""},
		"evacuation that had been lifted":       {evacuation, removed(evacuation, "{}", 90), listed(evacuation, "{}", 40), "", "{}"},
		"server that drained":                   {server, listed(server, "leaving/1/2", 90), listed(server, "live/1/1", 40), "leaving/1/2", "leaving/1/2"},
		"server that had restarted":             {server, listed(server, "live/2/2", 90), listed(server, "live/1/1", 40), "live/2/2", ""},
		"older entry of the same run":           {server, listed(server, "live/1/2", 90), listed(server, "live/1/1", 40), "live/1/2", "live/1/1"},
		"server that had expired and returns":   {server, removed(server, "live/1/1", 90), listed(server, "live/1/3", 55), "live/1/3", "live/1/3"},
		"later run of a server that had gone":   {server, removed(server, "live/1/1", 90), listed(server, "live/2/3", 45), "live/2/3", "live/2/3"},
		"removal that this instance had missed": {server, removed(server, "live/1/1", 30), listed(server, "live/1/2", 40), "live/1/2", "live/1/2"},
		"unchanged":                             {server, listed(server, "live/1/1", 40), listed(server, "live/1/1", 40), "live/1/1", "live/1/1"},
		"new to this instance":                  {server, nil, listed(server, "live/1/1", 40), "live/1/1", "live/1/1"},
	} {
		t.Run(name, func(t *testing.T) {
			// Revision 50 belonged to another key in the old history, so that the new one
			// begins there at the latest.
			known := knownHistory{latest: map[string]Item{}, writes: []Item{{Key: "other", Value: []byte("x"), Revision: 50}}}
			if c.held != nil {
				known.latest[c.key] = *c.held
			}
			batch := Batch{Position: Position{Era: 2, Revision: 60}, Items: []Item{{Key: "another", Value: []byte("x"), Revision: 50}}}
			if c.copied != nil {
				batch.Items = append(batch.Items, *c.copied)
			}
			r := &restoration{decoder: modelDecoder{}}
			now := time.Unix(0, 0)
			r.begin(known, 1, batch, now)
			inForce := map[string]string{}
			for _, item := range r.resolve(batch.Items) {
				inForce[item.Key] = string(item.Value)
			}
			assert.Equal(t, inForce[c.key], c.first)
			current := func(string) (Item, bool) {
				if c.copied == nil {
					return Item{}, false
				}
				return *c.copied, true
			}
			assert.Equal(t, len(r.settle(now.Add(rewriteTime-time.Millisecond), current)), 0)
			for _, item := range r.settle(now.Add(rewriteTime), current) {
				inForce[item.Key] = ""
				if !item.Removed {
					inForce[item.Key] = string(item.Value)
				}
			}
			assert.Equal(t, inForce[c.key], c.afterwards)
		})
	}
}
