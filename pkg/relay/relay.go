package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/feed"
	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/gateway"
	"github.com/sycamorelift/sycamorelift/pkg/lifecycle"
	"github.com/sycamorelift/sycamorelift/pkg/peering"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/retrybudget"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
)

const (
	// loadBalancerDelay is how long new connections still arrive after the readiness check
	// starts to fail: two readiness checks, one a second, and the delay of the first one.
	loadBalancerDelay = 2600 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the
	// process.
	exitMargin = 700 * time.Millisecond
	// supervisorStopTimeout bounds the stop of the supervised services.
	supervisorStopTimeout = 200 * time.Millisecond
	// readHeaderTimeout and maxHeaderBytes exceed the limits that a table may set for
	// callers. They are fixed, since net/http does not let them follow a table that
	// changes.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// idleCloseTimeout bounds the wait for requests that have arrived on idle connections.
	idleCloseTimeout = 100 * time.Millisecond
	// callerListener is the name of the listener for callers.
	callerListener = "caller"
)

// Instance forwards opaque requests as one instance of a deployment.
type Instance struct {
	options   Options
	settings  atomic.Pointer[settings.Relay] // in force; replaced by a reload
	logger    *slog.Logger
	directory *directory.Directory
	follower  *feed.Follower
	sender    *forward.PooledClient
	budget    *retrybudget.Budget
	members   *peering.Members
	client    *peering.Client
	suspects  *suspects.Tracker
	exchanger *peering.Exchanger
	reporter  *peering.SuspectReporter
	lifecycle *lifecycle.Lifecycle
	registry  *telemetry.Registry
	warmer    *warmer
	listeners []*listener
	// idleCloser closes idle connections of callers.
	idleCloser *gateway.IdleCloser
}

// New builds an instance and opens its listeners.
func New(options Options) (*Instance, error) {
	s := options.Settings
	r := &Instance{
		options:  options,
		logger:   options.Logger,
		registry: telemetry.NewRegistry(s.Instance.ID),
	}
	r.settings.Store(s)
	r.members = peering.NewMembers(peering.Member{
		ID:          s.Instance.ID,
		Zone:        s.Instance.Zone,
		Address:     s.Listen.Peer,
		Incarnation: uint64(time.Now().UnixMilli()),
		Millicores:  int(1000 * s.Cores),
	}, time.Now, r.logger)
	r.suspects = suspects.NewTracker(r.logSuspect)
	if !s.FirstStart {
		r.suspects.BeginHistory(time.Now())
	}
	r.directory = directory.New(s.Bounds.Drain, time.Now)
	r.client = peering.NewClient()
	r.follower = feed.NewFollower(options.Store, peering.NewSources(r.members, r.client), options.Decoder, r.directory, r.logger)
	r.sender = forward.NewPooledClient(options.Codec, r.logger)
	r.budget = retrybudget.New(retrybudget.Limits{
		Ratio:     s.Bounds.ExtraRatio,
		Allowance: s.Bounds.ExtraAllowance,
		Window:    s.Bounds.ExtraWindow,
	}, r.members.Share, func() time.Duration { return r.suspects.HistoryAge(time.Now()) })
	r.registerMetrics()
	return r, r.openListeners()
}

// lifecycleConfig returns the phases of a planned stop. Within a short grace period the load
// balancer gets half of the time.
func (r *Instance) lifecycleConfig(refuse http.HandlerFunc) lifecycle.Config {
	total := max(r.options.Settings.Bounds.Grace-exitMargin, 0)
	delay := min(loadBalancerDelay, total/2)
	return lifecycle.Config{
		LoadBalancerDelay: delay,
		AcceptTimeout:     delay,
		DrainTimeout:      total - delay,
		OnDraining:        r.announceDrain,
		OnRefusing:        r.announceRefusals,
		Refuse:            refuse,
	}
}

// announceRefusals logs that new requests are refused from now on.
func (r *Instance) announceRefusals() {
	r.logger.Info("refusing new requests", "in_flight", r.lifecycle.InFlight())
	r.closeIdleConnections()
}

// closeIdleConnections closes the connections on which callers wait for nothing, so that
// they send their next request to another instance.
func (r *Instance) closeIdleConnections() {
	ctx, cancel := context.WithTimeout(context.Background(), idleCloseTimeout)
	defer cancel()
	r.idleCloser.CloseAll(ctx)
}

// announceDrain tells the other instances that this one takes no more work.
func (r *Instance) announceDrain() {
	r.members.SetLeaving()
	r.logger.Info("draining", "in_flight", r.lifecycle.InFlight())
}

// registerMetrics registers the values that the operator listener shows.
func (r *Instance) registerMetrics() {
	r.registry.Func("table", func() any {
		if table := r.follower.Table(); table != nil {
			return map[string]int64{"version": table.Version(), "routes": int64(table.RouteCount())}
		}
		return nil
	})
	r.registry.Func("full_reads", func() any { return r.follower.FullReads().Counts() })
	r.registry.Func("store_calls", func() any { return r.follower.StoreCalls().Counts() })
	r.registry.Func("rejected_items", func() any { return r.follower.Rejected() })
	r.registry.Func("view_age_ms", func() any { return r.follower.Age().Milliseconds() })
	r.registry.Func("backend_servers", func() any {
		staying, leaving := r.directory.Count()
		return map[string]int{"staying": staying, "leaving": leaving}
	})
	r.registry.Func("drained_zones", func() any {
		seconds := make(map[string]int64) // since when, by zone
		for _, z := range r.directory.DrainedZones() {
			seconds[z.Zone] = int64(time.Since(z.Since).Seconds())
		}
		return seconds
	})
	r.registry.Func("backend_connections", func() any { return r.sender.Connections() })
	r.registry.Func("suspects_history_s", func() any { return int64(r.suspects.HistoryAge(time.Now()).Seconds()) })
	r.registry.Func("requests_in_flight", func() any { return r.lifecycle.InFlight() })
	r.registry.Func("log_records_dropped", func() any { return r.options.DroppedLogs() })
}

// openListeners builds the engine and the handlers and opens the listener of each.
func (r *Instance) openListeners() error {
	s := r.options.Settings
	relays := peering.NewRelays(r.members, r.client)
	r.reporter = peering.NewSuspectReporter(r.members, r.client, relays, r.suspects)
	observed := r.newServerTracker()
	observed.WarmUps = r.warmUp
	replies := shedding.NewBytes(s.ReplyBytes)
	r.registry.Func("reply_bytes", func() any { return replies.Held() })
	engine := forward.New(forward.Config{
		Directory:        r.directory,
		Tracker:          observed,
		Suspects:         r.suspects,
		Budget:           r.budget,
		Client:           r.sender,
		Zone:             s.Instance.Zone,
		Cores:            s.Cores,
		Regions:          s.Zones,
		Relays:           relays,
		Sharing:          r.members,
		OnLatenessChange: r.logLateness,
		Replies:          replies,
		RefuseInOverload: s.RefuseInOverload,
		OnOverload:       r.logOverload,
		OnSuspect:        r.reporter.Report,
	})
	r.registry.Func("services_short", func() any {
		short, severe := engine.ShortServices()
		return map[string]int{"short": short, "severe": severe}
	})
	r.warmer = &warmer{zone: s.Instance.Zone, directory: r.directory, follower: r.follower, engine: engine, sender: r.sender}
	r.exchanger = peering.NewExchanger(r.members, r.client, relays, r.reporter, r.seeds)
	peerHandler := peering.NewServer(r.exchanger, r.follower, engine, r.logger)
	recorder := gateway.NewRecorder(r.logger, r.registry, r.follower.Age)
	requests := shedding.NewBytes(s.RequestBytes)
	answers := gateway.NewAnswerWriter(s.AnswerBytes, r.logger)
	r.registry.Func("request_bytes", func() any { return requests.Held() })
	r.registry.Func("answer_bytes", func() any { return answers.Held() })
	front := gateway.New(r.options.Codec, r.follower, engine, recorder, requests, answers)
	r.lifecycle = lifecycle.New(r.lifecycleConfig(front.RefuseShutdown))
	r.idleCloser = gateway.NewIdleCloser(r.idleTimeout)
	return errors.Join(
		r.addListener("operator", s.Listen.Operator, &http.Server{Handler: r.operatorHandler(engine)}),
		r.addListener("peer", s.Listen.Peer, &http.Server{Handler: r.lifecycle.PeerHandler(peerHandler)}),
		r.addListener("readiness", s.Listen.Readiness, &http.Server{Handler: r.lifecycle.Readiness()}),
		r.addListener(callerListener, s.Listen.Caller, &http.Server{
			Handler:                      r.lifecycle.Handler(front),
			BaseContext:                  r.lifecycle.BaseContext,
			ConnContext:                  gateway.ConnContext,
			ConnState:                    r.idleCloser.ConnState,
			ReadHeaderTimeout:            readHeaderTimeout,
			MaxHeaderBytes:               maxHeaderBytes,
			DisableGeneralOptionsHandler: true,
		}),
	)
}

// warmUp returns what the table in force states of a service's cold servers.
func (r *Instance) warmUp(service string) replicas.WarmUp {
	table := r.follower.Table()
	if table == nil {
		return replicas.WarmUp{}
	}
	known, _ := table.Service(service)
	bounds := r.options.Settings.Bounds
	return replicas.WarmUp{Time: known.WarmUp, Rate: replicas.ColdRate(known.WarmUpRate, bounds.WarmUpOverage, bounds.WarmUpSlack)}
}

// logServerChange logs a change in the health of a backend server as this instance
// observes it.
func (r *Instance) logServerChange(c replicas.Change) {
	r.logger.Info("backend server "+string(c.Kind), "backend_server", c.Server, "service", c.Service,
		"failures", c.Failures, "ejections", c.Ejections, "took_ms", c.Took.Milliseconds(), "limit", c.Limit, "pause_ms", c.Pause.Milliseconds(), "rate", c.Rate)
}

// logSuspect logs a request under which a backend server was lost.
func (r *Instance) logSuspect(c suspects.Change) {
	level, message := slog.LevelInfo, "request suspected of crashing backend servers"
	if c.Verdict.Quarantined() {
		level, message = slog.LevelWarn, "request quarantined for crashing backend servers"
	}
	r.logger.Log(context.Background(), level, message, "fingerprint", crashguard.FormatFingerprint(c.Fingerprint), "backend_server", directory.IDOfKey(c.Server),
		"losses", c.Verdict.Losses, "until", c.Verdict.Until, "reported", c.Reported)
}

// logLateness logs when more shards of a route are late than its answers may lack, and
// when that is over.
func (r *Instance) logLateness(c forward.LatenessChange) {
	message := "shards of route in time again"
	if c.Exceeds {
		message = "too many shards of route late"
	}
	r.logger.Info(message, "route", c.Route, "late_share", c.Share, "missable_share", c.MaxMissingShare)
}

// logOverload logs when requests are refused because the servers cannot do the work, and when that
// is over.
func (r *Instance) logOverload(active bool) {
	if active {
		r.logger.Warn("overload of backend servers, refusing requests beyond what is in time")
		return
	}
	r.logger.Info("requests no longer refused for overload")
}

func (r *Instance) idleTimeout() time.Duration {
	if table := r.follower.Table(); table != nil {
		return table.Limits().IdleTimeout
	}
	return 0
}

func (r *Instance) addListener(name, address string, server *http.Server) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s address", name)
	}
	server.ErrorLog = slog.NewLogLogger(r.logger.Handler(), slog.LevelDebug)
	r.listeners = append(r.listeners, &listener{name: name, socket: socket, server: server})
	return nil
}

// Run serves until ctx ends, then drains and stops.
func (r *Instance) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.New(r.options.Settings.Instance.ID, suture.Spec{EventHook: r.logEvent, Timeout: supervisorStopTimeout})
	for _, l := range r.listeners {
		supervisor.Add(l)
	}
	supervisor.Add(r.follower)
	supervisor.Add(r.exchanger)
	supervisor.Add(r.reporter)
	supervisor.Add(r.warmer)
	finished := supervisor.ServeBackground(serveCtx)
	r.logger.Info("started", "instance_zone", r.options.Settings.Instance.Zone, "first_start", r.options.Settings.FirstStart)
	select {
	case <-r.follower.Ready():
		r.warmer.warm(serveCtx)
		r.lifecycle.SetReady()
		r.logger.Info("ready", "table_version", r.follower.Table().Version())
		<-ctx.Done()
	case <-ctx.Done():
	}
	err := r.stop()
	cancel()
	<-finished
	r.registry.Close()
	r.logger.Info("stopped", "error", err)
	return err
}

// stop serves the requests in flight, answers those that the drain leaves over and closes the
// callers' listener.
func (r *Instance) stop() error {
	err := r.lifecycle.Drain(context.Background())
	r.lifecycle.Interrupt()
	// Shutdown closes idle connections also when a request has just arrived on them.
	r.closeIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	for _, l := range r.listeners {
		if l.name == callerListener {
			err = errors.Join(err, l.shutdown(ctx))
		}
	}
	return err
}

func (r *Instance) logEvent(event suture.Event) {
	r.logger.Warn("supervisor event", "event", event.String())
}
