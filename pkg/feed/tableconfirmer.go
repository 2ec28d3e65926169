package feed

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// maxConfirmedAge is the age of the table up to which a request without a route is
	// refused without asking anybody. A table has 3 s to take effect; the remainder is
	// for a reader between the store and this instance.
	maxConfirmedAge = 1500 * time.Millisecond
	// maxAgeForPeers is the age up to which an instance confirms its table to others
	// without asking the store. The rest of maxConfirmedAge lets them use the reply for a
	// while.
	maxAgeForPeers = maxConfirmedAge / 2
	// peerConfirmTimeout bounds the call to an instance that reads the store. A slow store
	// takes 250 to 300 ms.
	peerConfirmTimeout = 500 * time.Millisecond
	// storeConfirmTimeout bounds a read of the table.
	storeConfirmTimeout = 3 * time.Second
)

// tableConfirmer confirms that the table in force is the newest one. Many requests without a
// route may arrive at many instances, so an instance asks the zone's reader, which asks the
// store once for all that wait. The store itself is the last resort.
type tableConfirmer struct {
	store   Store
	sources Sources
	logger  *slog.Logger
	calls   *StoreCalls
	now     func() time.Time
	// current returns the table in force, nil before the first one.
	current func() *routing.Table
	// adopt puts a table in force unless it is older. It returns the table, nil if the item
	// holds none.
	adopt func(item Item, origin string) *routing.Table
	// viewAge returns the time since the store has confirmed the whole view.
	viewAge func() time.Duration
	// era returns the era of the view, 0 if unknown.
	era func() int64
	// confirmable reports whether a confirmation as of a time holds.
	confirmable func(asOf time.Time) bool

	confirmed confirmation // of the table alone
	inFlight  singleflight.Group
	// skipReaderUntil is when the zone's reader may be asked again after a failure. Only
	// the call in flight uses it.
	skipReaderUntil time.Time
}

// age returns the time since the store has confirmed the table.
func (c *tableConfirmer) age() time.Duration {
	now := c.now()
	age := min(c.confirmed.age(now), c.viewAge())
	if !c.confirmable(now.Add(-age)) {
		return unconfirmedAge
	}
	return age
}

// byAnyone confirms the table by the zone's reader, a standby reader in its place, or at last
// the store.
func (c *tableConfirmer) byAnyone(ctx context.Context) error {
	return c.join(ctx, "anyone", func(ctx context.Context) error {
		if c.askReaders(ctx) {
			return nil
		}
		return c.byStore(ctx)
	})
}

// byStore confirms the table by the store alone.
func (c *tableConfirmer) byStore(ctx context.Context) error { return c.join(ctx, "store", c.askStore) }

// join waits for the call of a kind that is in flight, or makes it. The call goes on when ctx
// ends, so that its result serves the requests after it.
func (c *tableConfirmer) join(ctx context.Context, kind string, call func(ctx context.Context) error) error {
	done := c.inFlight.DoChan(kind, func() (any, error) { return nil, call(context.WithoutCancel(ctx)) })
	select {
	case result := <-done:
		return result.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// askReaders reports whether the zone's reader or a standby reader has confirmed the table.
func (c *tableConfirmer) askReaders(ctx context.Context) bool {
	reader := c.sources.Reader()
	if reader == nil {
		return false
	}
	if c.now().After(c.skipReaderUntil) {
		if c.askPeer(ctx, reader) == nil {
			return true
		}
		c.skipReaderUntil = c.now().Add(readerBackoff)
	}
	standby := c.sources.Standby(0)
	return standby != nil && c.askPeer(ctx, standby) == nil
}

func (c *tableConfirmer) askPeer(ctx context.Context, peer PeerSource) error {
	ctx, cancel := context.WithTimeout(ctx, peerConfirmTimeout)
	defer cancel()
	requestedAt := c.now()
	known, era := c.current().Version(), c.era()
	reply, err := peer.ConfirmTable(ctx, known)
	switch {
	case err != nil:
	case reply.Era != 0 && reply.Era < era:
		err = &EraPastError{Origin: "instance " + peer.ID(), Era: reply.Era, Known: era}
	case reply.Version < known:
		err = &StaleTableError{Origin: "instance " + peer.ID(), Version: reply.Version, Known: known}
	case c.now().Sub(requestedAt)+reply.Age >= maxConfirmedAge:
		err = &StaleViewError{Peer: peer.ID(), Age: reply.Age}
	}
	if err != nil {
		c.logger.Info("table not confirmed by instance", "origin", peer.ID(), "error", err)
		return err
	}
	if reply.Item != nil {
		c.adopt(*reply.Item, "confirmation by "+peer.ID())
	}
	c.confirmed.advance(requestedAt.Add(-reply.Age))
	return nil
}

func (c *tableConfirmer) askStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeConfirmTimeout)
	defer cancel()
	requestedAt := c.now()
	c.calls.confirmations.Add(1)
	batch, err := c.store.ReadTable(ctx)
	if err != nil {
		c.logger.Warn("table not confirmed by the store", "error", err, "table_age_ms", c.age().Milliseconds())
		return err
	}
	if err := c.checkStore(batch); err != nil {
		c.logger.Warn("table not confirmed by the store", "error", err, "table_age_ms", c.age().Milliseconds())
		return err
	}
	c.confirmed.advance(requestedAt)
	return nil
}

// checkStore adopts the store's table. It returns an error if the store cannot confirm the table
// in force: it is in another era than the view, so that either may be outdated, or its table is
// older.
func (c *tableConfirmer) checkStore(batch Batch) error {
	known, era := c.current().Version(), c.era()
	if batch.Position.Era != 0 && batch.Position.Era < era {
		return &EraPastError{Origin: "store", Era: batch.Position.Era, Known: era}
	}
	for _, item := range batch.Items {
		if table := c.adopt(item, "confirmation"); table != nil && table.Version() < known {
			return &StaleTableError{Origin: "store", Version: table.Version(), Known: known}
		}
	}
	if era != 0 && batch.Position.Era > era {
		return &BehindError{Origin: "this instance", At: Position{Era: era}, Known: batch.Position}
	}
	return nil
}
