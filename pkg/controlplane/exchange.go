package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// idlePause is the pause of a task that has no work left. A wake ends it early.
const idlePause = 1 * time.Second

// exchangeStep makes the periodic exchange of versions with a random partner. When
// that partner does not confirm this instance's documents, it tries others, up to
// confirmAttempts in all. If the documents are not fresh afterwards, it wakes the
// read task.
func (p *Plane) exchangeStep(ctx context.Context) time.Duration {
	start := p.now()
	for _, partner := range p.partners(confirmAttempts) {
		if p.exchangeWith(ctx, partner) {
			break
		}
	}
	if !p.fresh.isFresh(p.now()) {
		p.tasks[taskRead].wake()
	}
	return max(p.exchangeInterval-p.now().Sub(start), p.exchangeInterval/4)
}

// pushStep sends versions and notices to pushFanOut partners at once when
// schedulePush was called since the last step.
func (p *Plane) pushStep(ctx context.Context) time.Duration {
	if !p.pushDue.Swap(false) {
		return idlePause
	}
	p.exchangeAll(ctx, p.partners(pushFanOut))
	return idlePause
}

// exchangeAll exchanges versions with all partners at once and returns how many of them
// confirmed this instance's documents.
func (p *Plane) exchangeAll(ctx context.Context, partners []membership.Instance) int {
	var running sync.WaitGroup
	confirmed := make([]bool, len(partners))
	running.Add(len(partners))
	for i, partner := range partners {
		p.spawn(func() {
			defer running.Done()
			confirmed[i] = p.exchangeWith(ctx, partner)
		})
	}
	running.Wait()
	count := 0
	for _, ok := range confirmed {
		if ok {
			count++
		}
	}
	return count
}

// exchangeWith exchanges versions with a partner and fetches the documents of
// which the partner holds a higher version. It reports whether this instance now
// holds everything that the partner held when the request was sent, and in that
// case confirms the documents as of that time.
func (p *Plane) exchangeWith(ctx context.Context, partner membership.Instance) bool {
	sentAt := p.now()
	reply, err := p.callExchange(ctx, partner)
	p.recordPeerCall(ctx, partner, err)
	if err != nil {
		return false
	}
	p.ObserveSender(reply.GetSender())
	for _, notice := range reply.GetNotices() {
		p.AddNotice(notice)
	}
	versions := withSenderBundle(reply.GetVersions(), reply.GetSender())
	for _, v := range versions {
		p.recordAnnouncement(v, partner.ID)
	}
	if !p.fetchOrAwait(ctx, versions) {
		return false
	}
	p.confirm(sentAt)
	return true
}

// recordPeerCall records in the view whether a call to partner succeeded. A failed
// call whose context has ended is ignored: this instance gave the call up itself.
func (p *Plane) recordPeerCall(ctx context.Context, partner membership.Instance, err error) {
	if err == nil || ctx.Err() == nil {
		p.view.RecordCall(partner.ID, err == nil, p.now())
	}
}

// callExchange sends this instance's versions and notices to a partner.
func (p *Plane) callExchange(ctx context.Context, partner membership.Instance) (*peerpb.ExchangeReply, error) {
	ctx, cancel := p.withTimeout(ctx, exchangeTimeout)
	defer cancel()
	return p.peers.Exchange(ctx, partner, &peerpb.ExchangeRequest{
		Sender:   p.Sender(),
		Versions: versionsToProto(p.store.Versions()),
		Notices:  p.outgoingNotices(),
	})
}

// schedulePush makes the push task send the current versions and notices.
func (p *Plane) schedulePush() {
	p.pushDue.Store(true)
	p.tasks[taskPush].wake()
}

// Exchange handles an exchange request from another instance. The reply lists the
// versions that are higher than the sender's or that the sender does not have.
// The reply does not wait for documents of which the sender holds a higher version:
// the fetch task fetches them.
// A request does not confirm this instance's documents: a process that
// was paused may read a request that is as old as the pause.
func (p *Plane) Exchange(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	p.ObserveSender(request.GetSender())
	for _, notice := range request.GetNotices() {
		p.AddNotice(notice)
	}
	senderVersions := make(map[string]Version, len(request.GetVersions()))
	for _, m := range request.GetVersions() {
		v := versionFromProto(m)
		senderVersions[v.Key] = v
		p.recordAnnouncement(v, request.GetSender().GetInstanceId())
	}
	var missing []Version
	for _, v := range p.store.Versions() {
		if senderVersion, ok := senderVersions[v.Key]; !ok || v.Compare(senderVersion) > 0 {
			missing = append(missing, v)
		}
	}
	return &peerpb.ExchangeReply{
		Sender:   p.Sender(),
		Versions: versionsToProto(missing),
		Notices:  p.outgoingNotices(),
	}, nil
}

// withSenderBundle returns the listed versions and the bundle version stated in
// the sender fields. The latter may be newer: the sender may have accepted a bundle while
// it built the list.
func withSenderBundle(listed []*peerpb.DocumentVersion, sender *peerpb.Sender) []Version {
	versions := make([]Version, 0, len(listed)+1)
	for _, m := range listed {
		versions = append(versions, versionFromProto(m))
	}
	return append(versions, bundleVersionOf(sender))
}

func versionsToProto(versions []Version) []*peerpb.DocumentVersion {
	out := make([]*peerpb.DocumentVersion, 0, len(versions))
	for _, v := range versions {
		out = append(out, v.toProto())
	}
	return out
}
