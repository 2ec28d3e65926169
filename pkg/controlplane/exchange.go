package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// idlePause is the pause of a task that has nothing to do until it is woken.
const idlePause = 1 * time.Second

// exchangeStep exchanges versions with one random partner, and tries further
// partners until one confirms this instance's documents.
func (p *Plane) exchangeStep(ctx context.Context) time.Duration {
	began := p.now()
	for _, partner := range p.partners(confirmAttempts) {
		if p.exchangeWith(ctx, partner) {
			break
		}
	}
	if !p.fresh.isFresh(p.now()) {
		p.tasks[taskRead].wake()
	}
	return max(p.exchangeInterval-p.now().Sub(began), p.exchangeInterval/4)
}

// pushStep exchanges versions and notices with several partners at once if a push
// is due after a change.
func (p *Plane) pushStep(ctx context.Context) time.Duration {
	if !p.pushDue.Swap(false) {
		return idlePause
	}
	p.exchangeAll(ctx, p.partners(pushFanOut))
	return idlePause
}

// exchangeAll exchanges with all partners at once and returns how many of them
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
// holds everything that the partner held when the request was sent.
func (p *Plane) exchangeWith(ctx context.Context, partner membership.Instance) bool {
	sentAt := p.now()
	reply, err := p.callExchange(ctx, partner)
	p.reportCall(ctx, partner, err)
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

// reportCall records in the view whether a call of partner succeeded. A failed
// call whose context has ended is ignored: this instance gave the call up itself.
func (p *Plane) reportCall(ctx context.Context, partner membership.Instance, err error) {
	if err == nil || ctx.Err() == nil {
		p.view.RecordCall(partner.ID, err == nil, p.now())
	}
}

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

// Exchange answers another instance's exchange with the versions that the sender
// lacks. Documents of which the sender holds a higher version are fetched after
// the reply. A request does not confirm this instance's documents: a process that
// was paused may read a request that is as old as the pause.
func (p *Plane) Exchange(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	p.ObserveSender(request.GetSender())
	for _, notice := range request.GetNotices() {
		p.AddNotice(notice)
	}
	theirs := make(map[string]Version, len(request.GetVersions()))
	for _, m := range request.GetVersions() {
		v := versionFromProto(m)
		theirs[v.Key] = v
		p.recordAnnouncement(v, request.GetSender().GetInstanceId())
	}
	var lacking []Version
	for _, v := range p.store.Versions() {
		if other, ok := theirs[v.Key]; !ok || v.Compare(other) > 0 {
			lacking = append(lacking, v)
		}
	}
	return &peerpb.ExchangeReply{
		Sender:   p.Sender(),
		Versions: versionsToProto(lacking),
		Notices:  p.outgoingNotices(),
	}, nil
}

// withSenderBundle returns the listed versions and the bundle version stated in the
// sender fields, which may be newer: the sender may have accepted a bundle while
// it built the list.
func withSenderBundle(listed []*peerpb.DocumentVersion, s *peerpb.Sender) []Version {
	versions := make([]Version, 0, len(listed)+1)
	for _, m := range listed {
		versions = append(versions, versionFromProto(m))
	}
	return append(versions, bundleVersionOf(s))
}

func versionsToProto(versions []Version) []*peerpb.DocumentVersion {
	out := make([]*peerpb.DocumentVersion, 0, len(versions))
	for _, v := range versions {
		out = append(out, v.toProto())
	}
	return out
}
