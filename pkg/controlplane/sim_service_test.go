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

// simService simulates the configuration service. It keeps the state of every
// revision, so a test can show an old state to chosen instances.
type simService struct {
	net                 *simNetwork
	states              []map[string]configclient.Document // documents by key, for each revision
	down                bool
	staleRevisions      map[string]int // old revision that the service shows, by instance id
	highestRevisionRead map[string]int // by instance id
	reads               int64
	startTime           time.Time
	bytesSent           int64 // document data, and keys with revisions in watch replies
	readsPerTick        map[time.Time]int
	servers             []membership.BackendServer
}

func newSimService(n *simNetwork) *simService {
	return &simService{
		net:                 n,
		startTime:           n.now,
		states:              []map[string]configclient.Document{{}},
		staleRevisions:      make(map[string]int),
		highestRevisionRead: make(map[string]int),
		readsPerTick:        make(map[time.Time]int),
	}
}

func (s *simService) latestRevision() int { return len(s.states) - 1 }

// publish stores a document under the next revision.
func (s *simService) publish(key string, data []byte) {
	next := maps.Clone(s.states[s.latestRevision()])
	next[key] = configclient.Document{Key: key, Revision: int64(len(s.states)), Data: data}
	s.states = append(s.states, next)
}

// simBundle returns a bundle document: the version and the digest in clear text.
func simBundle(version int64, digest string) []byte {
	return fmt.Appendf(nil, "%d/%s", version, digest)
}

var errBadBundle = errors.New("bad signature")

// simVerify stands in for the verification of a bundle. It ignores padding after
// the first space.
func simVerify(data []byte) (version int64, digest string, parsed any, err error) {
	text, _, _ := strings.Cut(string(data), " ")
	versionText, digest, ok := strings.Cut(text, "/")
	version, err = strconv.ParseInt(versionText, 10, 64)
	if !ok || err != nil {
		return 0, "", nil, errBadBundle
	}
	return version, digest, version, nil
}

func (s *simService) publishBundle(version int64, digest string) {
	s.publish(KeyBundle, simBundle(version, digest))
}

// publishMembers publishes a list of members with the current instances, paused
// ones included, and the backend servers.
func (s *simService) publishMembers() {
	members := membership.Members{BackendServers: s.servers}
	for _, instance := range s.net.instances {
		members.Instances = append(members.Instances, instance.Instance)
	}
	data, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	s.publish(KeyMembers, data)
}

// bundleAt returns the version of the bundle at a revision, or the lowest
// version when the bundle does not verify.
func (s *simService) bundleAt(revision int) Version {
	version, digest, _, err := simVerify(s.states[revision][KeyBundle].Data)
	if err != nil {
		return Version{Key: KeyBundle}
	}
	return Version{Key: KeyBundle, Revision: version, Digest: digest}
}

// bundleVisibleTo returns the bundle at the highest revision that an instance has
// read or would read now. After the instance has read a higher revision than the
// service shows now, its watch gets "no change", so it keeps the higher bundle.
func (s *simService) bundleVisibleTo(instance *simInstance) Version {
	revision := s.latestRevision()
	if old, ok := s.staleRevisions[instance.ID]; ok {
		revision = old
	}
	return s.bundleAt(max(revision, s.highestRevisionRead[instance.ID]))
}

// heal ends every fault of the service.
func (s *simService) heal() {
	s.down = false
	clear(s.staleRevisions)
}

// peakReadsPerSecond returns the highest number of reads within one virtual
// second that starts in [from, to).
func (s *simService) peakReadsPerSecond(from, to time.Time) int {
	peak := 0
	for start := from; start.Before(to); start = start.Add(simTick) {
		reads := 0
		for t := start; t.Before(start.Add(time.Second)); t = t.Add(simTick) {
			reads += s.readsPerTick[t]
		}
		peak = max(peak, reads)
	}
	return peak
}

// simServiceClient is the client of one instance for the configuration service.
type simServiceClient struct {
	service *simService
	self    *simInstance
}

// readState counts a read and returns the state that the service shows to this
// instance, with its revision.
func (r *simServiceClient) readState() (map[string]configclient.Document, int, error) {
	s := r.service
	s.reads++
	s.readsPerTick[s.net.now]++
	// Only side 0 of a partition reaches the service.
	if s.down || s.net.partitionSides[r.self.ID] != 0 {
		return nil, 0, errUnreachable
	}
	revision := s.latestRevision()
	if old, ok := s.staleRevisions[r.self.ID]; ok {
		revision = old
	}
	s.highestRevisionRead[r.self.ID] = max(s.highestRevisionRead[r.self.ID], revision)
	s.net.recordLowest(serviceViewPrefix+r.self.ID, s.bundleAt(s.highestRevisionRead[r.self.ID]))
	return s.states[revision], revision, nil
}

func (r *simServiceClient) Get(_ context.Context, key string) (configclient.Document, error) {
	state, _, err := r.readState()
	if err != nil {
		return configclient.Document{}, err
	}
	document, ok := state[key]
	if !ok {
		return configclient.Document{}, &configclient.NotFoundError{Key: key}
	}
	r.service.bytesSent += int64(len(document.Data))
	return document, nil
}

func (r *simServiceClient) Watch(_ context.Context, after int64, _ time.Duration) (configclient.WatchReply, error) {
	state, revision, err := r.readState()
	if err != nil {
		return configclient.WatchReply{}, err
	}
	if int64(revision) <= after {
		return configclient.WatchReply{Revision: after}, nil
	}
	change := configclient.WatchReply{Revision: int64(revision), KeyRevisions: make(map[string]int64)}
	for key, document := range state {
		change.KeyRevisions[key] = document.Revision
		r.service.bytesSent += int64(len(key) + 8)
	}
	return change, nil
}
