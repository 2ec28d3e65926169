package feed

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// modelPage is the number of items in a page of modelStore.
const modelPage = 2

// modelStore is the platform's store with all of its history. Each value holds the number of
// its write, so that no two writes are alike.
type modelStore struct {
	eras      [][]Item // changes of each era by revision, those of the restored copy included
	down      bool
	truncated int64 // watches after an earlier revision get ErrHistoryGone
	written   int64 // number of writes in all eras
}

func newModelStore() *modelStore { return &modelStore{eras: [][]Item{{}}} }

func (s *modelStore) era() int64 { return int64(len(s.eras)) }

func (s *modelStore) history() []Item { return s.eras[len(s.eras)-1] }

func (s *modelStore) revision() int64 { return int64(len(s.history())) }

func (s *modelStore) position() Position { return Position{Era: s.era(), Revision: s.revision()} }

// put writes a value, to which it adds the number of the write. An empty value removes the key.
func (s *modelStore) put(key, value string) {
	s.written++
	item := Item{Key: key, Revision: s.revision() + 1, Removed: value == ""}
	if value != "" {
		item.Value = fmt.Appendf(nil, "%s/%d", value, s.written)
	}
	s.eras[len(s.eras)-1] = append(s.history(), item)
}

// restore starts a new era with the history up to a revision.
func (s *modelStore) restore(revision int64) {
	s.eras = append(s.eras, slices.Clone(s.history()[:revision]))
	s.truncated = min(s.truncated, revision)
}

// at returns the items as of a position.
func (s *modelStore) at(era, revision int64) map[string]Item {
	items := map[string]Item{}
	if era < 1 || era > s.era() {
		return items
	}
	for _, item := range s.eras[era-1][:min(revision, int64(len(s.eras[era-1])))] {
		if item.Removed {
			delete(items, item.Key)
		} else {
			items[item.Key] = item
		}
	}
	return items
}

// page returns the items that follow a key, and whether there are more.
func (s *modelStore) page(after string) (items []Item, more bool) {
	for key, item := range s.at(s.era(), s.revision()) {
		if key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > modelPage {
		return items[:modelPage], true
	}
	return items, false
}

// modelDecoder decodes the format of modelStore: the table is "VERSION/WRITE" and a server
// "STATE/BORN/WRITE". The capacity of a server is the number of the write.
type modelDecoder struct{}

func (modelDecoder) Decode(item Item) Decoded {
	id, isServer := strings.CutPrefix(item.Key, "server/")
	if item.Removed {
		if isServer {
			return Decoded{ServerID: id}
		}
		return Decoded{}
	}
	fields := strings.Split(string(item.Value), "/")
	if isServer {
		born, _ := strconv.ParseInt(fields[1], 10, 64)
		write, _ := strconv.Atoi(fields[2])
		server := membership.BackendServer{ID: id, Service: "s", State: membership.State(fields[0])}
		return Decoded{ServerID: id, Entry: &directory.Entry{Server: server, Started: born, Capacity: write}}
	}
	version, _ := strconv.ParseInt(fields[0], 10, 64)
	return Decoded{Table: routing.NewTable(version, nil, nil, routing.Limits{})}
}
