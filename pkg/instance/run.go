package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sycamorelift/sycamorelift/pkg/lifecycle"
	"github.com/sycamorelift/sycamorelift/pkg/peer"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
	"github.com/thejerf/suture/v4"
)

// errDoNotRestart ends a supervised service for good.
var errDoNotRestart = suture.ErrDoNotRestart

// supervisorStop bounds the stop of the supervised services.
const supervisorStop = 5 * time.Second

func (i *Instance) buildServers(context.Context) error {
	i.lifecycle = lifecycle.New(lifecycle.Config{
		LoadBalancerDelay: i.settings.Shutdown.LoadBalancerDelay,
		// The second half of the drain timeout is for the requests in progress and for
		// tickets, which other instances redeem here.
		AcceptTimeout: i.settings.Shutdown.LoadBalancerDelay + i.settings.Shutdown.DrainTimeout/2,
		OnRefusing:    i.closeIdleConnections,
		DrainTimeout:  i.settings.Shutdown.DrainTimeout,
		LiveTickets:   i.ledger.LiveTickets,
		OnDraining:    i.announceDrain,
	})
	callerTLS, err := serverTLS(i.settings.TLS.Caller)
	if err != nil {
		return eris.Wrap(err, "TLS of the caller listener")
	}
	peerTLS, err := serverTLS(i.settings.TLS.Peer)
	if err != nil {
		return eris.Wrap(err, "TLS of the peer listener")
	}
	peerHandler := peer.NewServer(&peerService{plane: i.plane, issuer: i.issuer}, i.owner, i.plane, i.tracer())
	return errors.Join(
		i.addListener("operator", i.settings.Listen.Operator, i.options.OperatorListener, nil, i.operatorHandler()),
		i.addListener("peer", i.settings.Listen.Peer, i.options.PeerListener, peerTLS, i.lifecycle.PeerHandler(peerHandler)),
		i.addListener(callerListener, i.settings.Listen.Caller, i.options.CallerListener, callerTLS, i.lifecycle.Handler(i.entry.Handler())),
	)
}

func (i *Instance) addListener(name, address string, given net.Listener, tlsConfig *tls.Config, handler http.Handler) error {
	l, err := newListener(name, address, given, tlsConfig, handler, i.settings.Limits)
	if err != nil {
		return err
	}
	if name == callerListener {
		l.server.BaseContext = i.lifecycle.BaseContext
	}
	i.servers = append(i.servers, l)
	return nil
}

func serverTLS(files settings.TLSFiles) (*tls.Config, error) {
	if files == (settings.TLSFiles{}) {
		return nil, nil
	}
	return files.ServerConfig()
}

// announceDrain stops new tickets and tells the other instances.
func (i *Instance) announceDrain() {
	i.logger.Info("draining")
	i.ledger.StopIssuing()
	i.plane.SetDraining()
}

// Start serves, learns the control documents and becomes ready. It returns an
// error when the documents cannot be learned within the bootstrap timeout.
func (i *Instance) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	i.cancel = cancel
	i.supervisor = suture.New(i.self.ID, suture.Spec{EventHook: i.logEvent, Timeout: supervisorStop})
	for _, l := range i.servers {
		i.supervisor.Add(l)
	}
	i.supervisor.Add(i.owner)
	i.finished = i.supervisor.ServeBackground(run)
	bootstrap, done := context.WithTimeout(ctx, i.settings.BootstrapTimeout)
	defer done()
	if err := i.plane.Bootstrap(bootstrap); err != nil {
		i.Kill()
		return eris.Wrap(err, "learn control documents")
	}
	i.supervisor.Add(i.plane)
	i.lifecycle.SetReady()
	i.logger.Info("ready", "incarnation", i.incarnation, "bundle_version", i.plane.Sender().BundleVersion)
	return nil
}

func (i *Instance) logEvent(event suture.Event) {
	i.logger.Warn("supervisor event", "event", event.String())
}

// Shutdown drains the instance and stops it. Requests in progress are served first, and
// those of callers that take too long are interrupted and answered; the error tells what
// was left when the drain timeout passed.
func (i *Instance) Shutdown(ctx context.Context) error {
	err := i.lifecycle.Drain(ctx)
	err = errors.Join(err, stopListeners(context.WithoutCancel(ctx), i.drainedListeners(), listenerStop, answerTime, i.lifecycle.Interrupt))
	i.Kill()
	return err
}

// Kill stops the instance at once, without draining.
func (i *Instance) Kill() {
	i.stopOnce.Do(func() {
		for _, l := range i.servers {
			l.abort()
		}
		if i.cancel != nil {
			i.cancel()
			<-i.finished
		}
		i.peers.Close()
		i.registry.Close()
		ctx, cancel := context.WithTimeout(context.Background(), supervisorStop)
		defer cancel()
		if err := i.stopTraces(ctx); err != nil {
			i.logger.Warn("traces not written", "error", err)
		}
	})
}

// Addresses returns the addresses of the caller, peer and operator listeners.
func (i *Instance) Addresses() (caller, peer, operator string) {
	addresses := make(map[string]string)
	for _, l := range i.servers {
		addresses[l.name] = l.socket.Addr().String()
	}
	return addresses["caller"], addresses["peer"], addresses["operator"]
}

// Counter returns a counter of the instance's metrics.
func (i *Instance) Counter(name string) int64 { return i.registry.Counter(name).Value() }

// Ready reports whether the instance accepts callers.
func (i *Instance) Ready() bool { return i.lifecycle.Ready() }

// BundleVersion returns the version of the bundle in force, 0 before the first.
func (i *Instance) BundleVersion() int64 { return i.plane.Sender().BundleVersion }
