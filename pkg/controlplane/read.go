package controlplane

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
)

// readStep makes the next read of the configuration service if it is due: a watch
// when this instance is a reader, otherwise a poll.
func (p *Plane) readStep(ctx context.Context) time.Duration {
	began := p.now()
	usable := p.view.UsableInstances(began)
	p.mu.Lock()
	role, due := p.policy.decide(usable, p.fresh.isFresh(began), began)
	if due {
		p.policy.began(len(usable), began)
	}
	p.mu.Unlock()
	if !due {
		return p.untilRead()
	}
	wait := time.Duration(0)
	if role == roleReader {
		wait = watchWait
	}
	changed, err := p.readService(ctx, wait)
	p.mu.Lock()
	p.policy.ended(err == nil, p.now())
	p.mu.Unlock()
	if err != nil || role != roleReader {
		return p.untilRead()
	}
	if changed {
		return minWatchPause
	}
	return max(watchWait-p.now().Sub(began), minWatchPause)
}

// untilRead returns the pause until the read policy is checked again.
func (p *Plane) untilRead() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(p.policy.next.Sub(p.now()), minWatchPause), maxReadSleep)
}

// readService asks the service for changes, waiting up to wait for one, and
// reads the changed documents. The documents are confirmed when all could be
// read. changed reports whether the service had a new revision.
func (p *Plane) readService(ctx context.Context, wait time.Duration) (changed bool, err error) {
	asked := p.now()
	p.mu.Lock()
	after := p.readState.readUpTo
	p.mu.Unlock()
	change, err := p.service.Watch(ctx, after, wait)
	p.recordServiceCall(ctx, err)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	keys := p.readState.unreadKeys(change, p.store)
	p.mu.Unlock()
	for _, key := range keys {
		if err := p.readDocument(ctx, key, change.KeyRevisions[key]); err != nil {
			return true, err
		}
	}
	p.mu.Lock()
	p.readState.recordReadUpTo(change.Revision)
	p.mu.Unlock()
	p.confirm(asked)
	return change.Revision > after, nil
}

// readDocument reads one document that the service holds at least at the given
// revision. A rejected document counts as read: reading it again cannot help.
func (p *Plane) readDocument(ctx context.Context, key string, revision int64) error {
	document, err := p.service.Get(ctx, key)
	p.recordServiceCall(ctx, err)
	var missing *configclient.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		p.logUnread(key, revision, err)
		return err
	}
	_, err = p.store.Accept(Document{Key: key, Revision: document.Revision, Data: document.Data})
	var rejected *RejectedError
	if err != nil && !errors.As(err, &rejected) {
		return err
	}
	p.mu.Lock()
	p.readState.recordRead(key, document.Revision)
	p.mu.Unlock()
	if document.Revision < revision {
		return &UnavailableError{What: "the announced revision of " + key}
	}
	return nil
}

// logUnread logs a failed read of a document. It omits the revision when none was
// announced.
func (p *Plane) logUnread(key string, revision int64, err error) {
	attributes := []any{"key", key, "error", err}
	if revision > 0 {
		attributes = append(attributes, "revision", revision)
	}
	p.log.Warn("control document not read", attributes...)
}
