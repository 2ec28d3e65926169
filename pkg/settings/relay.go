package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Relay are the settings of an instance that forwards opaque requests. They
// name places and the platform's bounds; everything about requests is in the
// published table.
type Relay struct {
	Instance Instance
	Listen   RelayListen
	Seeds    []string // peer addresses of instances that may be running
	Store    string   // address of the platform's store, IP:port
	Memory   int64    // bytes that the process may use
	Cores    float64  // processor time that the process has
	// MaxRequestBytes bounds the bytes of requests in progress; 0 stands for the default, see
	// RequestBytes.
	MaxRequestBytes int64
	Bounds          RelayBounds
	// FirstStart is set when all instances start for the first time, so that none has run before.
	FirstStart bool
	Zones      map[string]string // region of each availability zone; nil if not stated
	// RefuseInOverload refuses requests at once that servers cannot answer in time.
	RefuseInOverload bool
	// ZoneTraffic is optional.
	ZoneTraffic ZoneTraffic
}

// RelayListen holds the addresses to listen on, each as IP:port.
type RelayListen struct {
	Caller    string
	Readiness string
	Peer      string // other instances
	Operator  string // metrics, read-only
}

// RelayBounds are the platform's figures that the instance keeps to.
type RelayBounds struct {
	Drain          time.Duration // after the report of a drain a backend server still takes requests
	Grace          time.Duration // from SIGTERM to SIGKILL
	ExtraRatio     float64       // arrivals beyond the first, per request
	ExtraAllowance float64       // arrivals beyond the first, of all instances in each window
	ExtraWindow    time.Duration
	// A cold backend server gets at most its stated rate x WarmUpOverage + WarmUpSlack requests
	// in any second. Without them these are 1 and 0, so that the stated rate itself is kept.
	WarmUpOverage float64
	WarmUpSlack   float64
}

// Ranges of the platform's figures.
var (
	boundRange     = durations(100*time.Millisecond, 10*time.Minute)
	ratioRange     = yamldoc.Range[float64]{Min: 0, Max: 10}
	allowanceRange = yamldoc.Range[float64]{Min: 0, Max: 1e6}
	overageRange   = yamldoc.Range[float64]{Min: 0.1, Max: 100}
	coresRange     = yamldoc.Range[float64]{Min: 0.01, Max: 1024}
	// requestBytesRange begins at 2 MiB, so that the part of the bound for less urgent requests
	// holds at least one body of the size that a table without a limit allows.
	requestBytesRange = yamldoc.Range[int]{Min: 2, Max: 1 << 20}
	memoryRange       = yamldoc.Range[int]{Min: 32, Max: 1 << 20}
)

const (
	// requestMemoryShare is the share of the instance's memory that requests in progress may
	// hold. Their bodies are copied once into each message to another instance, and replies,
	// connections and the list of servers need the rest.
	requestMemoryShare = 0.25
	// replyMemoryShare is the share for replies of servers that requests hold.
	replyMemoryShare = 0.25
	// answerMemoryShare is the share for answers that callers read slowly.
	answerMemoryShare = 0.125
)

// RequestBytes returns the bound on the bytes of requests in progress.
func (s *Relay) RequestBytes() int64 {
	if s.MaxRequestBytes > 0 {
		return s.MaxRequestBytes
	}
	return int64(requestMemoryShare * float64(s.Memory))
}

// ReplyBytes returns the bound on the bytes of the replies that requests hold.
func (s *Relay) ReplyBytes() int64 { return int64(replyMemoryShare * float64(s.Memory)) }

// AnswerBytes returns the bound on the bytes of answers that are being written.
func (s *Relay) AnswerBytes() int64 { return int64(answerMemoryShare * float64(s.Memory)) }

// LoadRelay reads and checks a settings file, with further lines that are read as if they were at
// its end. The error is a finding.List with everything that is wrong, unless the file can't be read.
func LoadRelay(file string, furtherLines ...string) (*Relay, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	for _, line := range furtherLines {
		data = append(data, "\n"+line...)
	}
	return ParseRelay(file, data)
}

// ParseRelay is LoadRelay with the file's content.
func ParseRelay(file string, data []byte) (*Relay, error) {
	doc := yamldoc.Parse(file, data)
	s := &Relay{}
	s.read(doc.Root(""))
	if err := doc.Findings().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Relay) read(v yamldoc.Value) {
	o := v.Object()
	s.Instance.read(o.Required("instance"))
	s.Listen.read(o.Required("listen"))
	readAddress(o.Required("store"), &s.Store)
	readSeeds(o.Optional("seeds"), &s.Seeds)
	var megabytes int
	o.Required("memory_mb").Int(&megabytes, memoryRange)
	s.Memory = int64(megabytes) * mib
	var maxRequestMebibytes int
	o.Optional("max_request_bytes_mib").Int(&maxRequestMebibytes, requestBytesRange)
	s.MaxRequestBytes = int64(maxRequestMebibytes) * mib
	s.Cores = 1
	o.Optional("cores").Float(&s.Cores, coresRange)
	s.Bounds.read(o.Required("bounds"))
	s.Bounds.WarmUpOverage = 1
	o.Optional("warmup_overage").Float(&s.Bounds.WarmUpOverage, overageRange)
	o.Optional("warmup_slack").Float(&s.Bounds.WarmUpSlack, allowanceRange)
	o.Optional("first_start").Bool(&s.FirstStart)
	readZones(o.Optional("zones"), &s.Zones)
	o.Optional("refuse_in_overload").Bool(&s.RefuseInOverload)
	s.ZoneTraffic = defaultZoneTraffic()
	s.ZoneTraffic.read(o.Optional("zone_traffic"))
	o.Close()
}

func (l *RelayListen) read(v yamldoc.Value) {
	o := v.Object()
	taken := map[string]string{}
	readListener(o, "caller", &l.Caller, taken)
	readListener(o, "readiness", &l.Readiness, taken)
	readListener(o, "peer", &l.Peer, taken)
	readListener(o, "operator", &l.Operator, taken)
	o.Close()
}

func (b *RelayBounds) read(v yamldoc.Value) {
	o := v.Object()
	o.Required("drain").Duration(&b.Drain, boundRange)
	o.Required("grace").Duration(&b.Grace, boundRange)
	o.Required("extra_ratio").Float(&b.ExtraRatio, ratioRange)
	o.Required("extra_allowance").Float(&b.ExtraAllowance, allowanceRange)
	o.Required("extra_window").Duration(&b.ExtraWindow, boundRange)
	o.Close()
}
