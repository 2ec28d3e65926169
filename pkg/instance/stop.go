package instance

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// listenerStop is how long after the drain requests may still complete.
	listenerStop = 10 * time.Second
	// answerTime is the part of listenerStop in which requests that were interrupted are
	// answered.
	answerTime = time.Second
)

// callerListener is the name of the listener for callers.
const callerListener = "caller"

// stopListeners closes the listeners and waits for their requests. The requests that are
// still in progress answerTime before the timeout are interrupted, so that they get an
// answer. The listeners close side by side: requests of other instances must not use up
// the time of those of callers.
func stopListeners(ctx context.Context, listeners []*listener, timeout, answerTime time.Duration, interrupt func()) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	timer := time.AfterFunc(timeout-answerTime, interrupt)
	defer timer.Stop()
	errs := make([]error, len(listeners))
	var group errgroup.Group
	for n, l := range listeners {
		group.Go(func() error {
			errs[n] = l.shutdown(ctx)
			return nil
		})
	}
	_ = group.Wait() // the errors are in errs
	return errors.Join(errs...)
}

// closeIdleConnections closes the connections on which callers wait for nothing, so that
// they send their next request to another instance.
func (i *Instance) closeIdleConnections() {
	i.logger.Info("refusing new requests", "in_flight", i.lifecycle.InFlight())
	for _, l := range i.servers {
		if l.name == callerListener {
			l.server.SetKeepAlivesEnabled(false)
		}
	}
}

// drainedListeners returns the listeners that close once the drain has ended: all but that
// of operators.
func (i *Instance) drainedListeners() []*listener {
	return slices.DeleteFunc(slices.Clone(i.servers), func(l *listener) bool { return l.name == "operator" })
}
