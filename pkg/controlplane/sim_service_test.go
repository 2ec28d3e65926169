package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// simService is the configuration service with its whole history, so that each
// instance can be shown an old state.
type simService struct {
	net     *simNetwork
	states  []map[string]configclient.Document // by revision
	down    bool
	stale   map[string]int // revision shown to an instance, by id
	shown   map[string]int // highest revision read by an instance, by id
	reads   int64
	began   time.Time
	bytes   int64 // of documents and of the keys in changes
	perTick map[time.Time]int
	servers []membership.BackendServer
}

func newSimService(n *simNetwork) *simService {
	return &simService{
		net:     n,
		began:   n.now,
		states:  []map[string]configclient.Document{{}},
		stale:   make(map[string]int),
		shown:   make(map[string]int),
		perTick: make(map[time.Time]int),
	}
}

func (s *simService) revision() int { return len(s.states) - 1 }

func (s *simService) publish(key string, data []byte) {
	next := maps.Clone(s.states[s.revision()])
	next[key] = configclient.Document{Key: key, Revision: int64(len(s.states)), Data: data}
	s.states = append(s.states, next)
}

// simBundle is a bundle document: its version and digest in clear text.
func simBundle(version int64, digest string) []byte {
	return fmt.Appendf(nil, "%d/%s", version, digest)
}

var errBadBundle = errors.New("bad signature")

// simVerify stands for the verification of a bundle; padding is ignored.
func simVerify(data []byte) (version int64, digest string, parsed any, err error) {
	text, _, _ := strings.Cut(string(data), " ")
	first, digest, ok := strings.Cut(text, "/")
	version, err = strconv.ParseInt(first, 10, 64)
	if !ok || err != nil {
		return 0, "", nil, errBadBundle
	}
	return version, digest, version, nil
}

func (s *simService) publishBundle(version int64, digest string) {
	s.publish(KeyBundle, simBundle(version, digest))
}

// publishMembers publishes the instances that are alive now.
func (s *simService) publishMembers() {
	members := membership.Members{BackendServers: s.servers}
	for _, instance := range s.net.alive {
		members.Instances = append(members.Instances, instance.Instance)
	}
	data, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	s.publish(KeyMembers, data)
}

// bundleAt returns the bundle of a revision, the lowest one when it is bad.
func (s *simService) bundleAt(revision int) Version {
	version, digest, _, err := simVerify(s.states[revision][KeyBundle].Data)
	if err != nil {
		return Version{Key: KeyBundle}
	}
	return Version{Key: KeyBundle, Revision: version, Digest: digest}
}

// shownTo returns the bundle at the highest revision that an instance has read
// or would read now; a watch after it is answered with "no change".
func (s *simService) shownTo(instance *simInstance) Version {
	revision := s.revision()
	if old, ok := s.stale[instance.ID]; ok {
		revision = old
	}
	return s.bundleAt(max(revision, s.shown[instance.ID]))
}

// heal ends every fault of the service.
func (s *simService) heal() {
	s.down = false
	clear(s.stale)
}

// mostReads returns the highest number of reads within one virtual second.
func (s *simService) mostReads(from, to time.Time) int {
	most := 0
	for at := from; at.Before(to); at = at.Add(simTick) {
		sum := 0
		for t := at; t.Before(at.Add(time.Second)); t = t.Add(simTick) {
			sum += s.perTick[t]
		}
		most = max(most, sum)
	}
	return most
}

// simReader is one instance's access to the service.
type simReader struct {
	service *simService
	self    *simInstance
}

// state returns the state that the service shows to this instance.
func (r *simReader) state() (map[string]configclient.Document, int, error) {
	s := r.service
	s.reads++
	s.perTick[s.net.now]++
	// Group 0 is the side of a partition that reaches the service.
	if s.down || s.net.groups[r.self.ID] != 0 {
		return nil, 0, errUnreachable
	}
	revision := s.revision()
	if old, ok := s.stale[r.self.ID]; ok {
		revision = old
	}
	s.shown[r.self.ID] = max(s.shown[r.self.ID], revision)
	s.net.note(serviceShown+r.self.ID, s.bundleAt(s.shown[r.self.ID]))
	return s.states[revision], revision, nil
}

func (r *simReader) Get(_ context.Context, key string) (configclient.Document, error) {
	state, _, err := r.state()
	if err != nil {
		return configclient.Document{}, err
	}
	document, ok := state[key]
	if !ok {
		return configclient.Document{}, &configclient.NotFoundError{Key: key}
	}
	r.service.bytes += int64(len(document.Data))
	return document, nil
}

func (r *simReader) Watch(_ context.Context, after int64, _ time.Duration) (configclient.WatchReply, error) {
	state, revision, err := r.state()
	if err != nil {
		return configclient.WatchReply{}, err
	}
	if int64(revision) <= after {
		return configclient.WatchReply{Revision: after}, nil
	}
	change := configclient.WatchReply{Revision: int64(revision), KeyRevisions: make(map[string]int64)}
	for key, document := range state {
		change.KeyRevisions[key] = document.Revision
		r.service.bytes += int64(len(key) + 8)
	}
	return change, nil
}
