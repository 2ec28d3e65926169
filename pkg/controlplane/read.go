package controlplane

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
)

// readStep makes the next read of the configuration service if it is due. A reader
// watches the service, any other instance polls it.
func (p *Plane) readStep(ctx context.Context) time.Duration {
	start := p.now()
	usable := p.view.UsableInstances(start)
	p.mu.Lock()
	role, due := p.policy.decide(usable, p.fresh.isFresh(start), start)
	if due {
		p.policy.readStarted(len(usable), start)
	}
	p.mu.Unlock()
	if !due {
		return p.pauseUntilRead()
	}
	wait := time.Duration(0)
	if role == roleReader {
		wait = watchWait
	}
	changed, err := p.readChanges(ctx, wait)
	p.mu.Lock()
	p.policy.readEnded(err == nil, p.now())
	p.mu.Unlock()
	if err != nil || role != roleReader {
		return p.pauseUntilRead()
	}
	if changed {
		return minWatchPause
	}
	return max(watchWait-p.now().Sub(start), minWatchPause)
}

// pauseUntilRead returns the pause until the read task checks the read policy again.
func (p *Plane) pauseUntilRead() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(p.policy.nextRead.Sub(p.now()), minWatchPause), maxReadSleep)
}

// readChanges requests the changes since the last complete read from the service,
// which waits up to wait for a change, and reads the changed documents. When all of
// them could be read, it confirms this instance's documents as of the time of the
// request. changed reports whether the service had a new revision.
func (p *Plane) readChanges(ctx context.Context, wait time.Duration) (changed bool, err error) {
	sentAt := p.now()
	p.mu.Lock()
	previousRevision := p.readState.readUpTo
	p.mu.Unlock()
	reply, err := p.service.Watch(ctx, previousRevision, wait)
	p.recordServiceCall(ctx, err)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	keys := p.readState.unreadKeys(reply, p.store)
	p.mu.Unlock()
	for _, key := range keys {
		if err := p.readDocument(ctx, key, reply.KeyRevisions[key]); err != nil {
			return true, err
		}
	}
	p.mu.Lock()
	p.readState.recordReadUpTo(reply.Revision)
	p.mu.Unlock()
	p.confirm(sentAt)
	return reply.Revision > previousRevision, nil
}

// readDocument reads one document from the service and offers it to the store. It
// fails if the service returns a lower revision than the given one. A document that
// the service does not hold is no error. A rejected document counts as read, since
// reading the same data again would only repeat the rejection.
func (p *Plane) readDocument(ctx context.Context, key string, revision int64) error {
	document, err := p.service.Get(ctx, key)
	p.recordServiceCall(ctx, err)
	var notFound *configclient.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		p.logReadFailure(key, revision, err)
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

// logReadFailure logs a failed read of a document. It omits the revision when none
// was announced.
func (p *Plane) logReadFailure(key string, revision int64, err error) {
	attributes := []any{"key", key, "error", err}
	if revision > 0 {
		attributes = append(attributes, "revision", revision)
	}
	p.log.Warn("control document not read", attributes...)
}
