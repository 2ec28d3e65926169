package controlplane

import (
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// OnNotice registers a function that is called once with each new notice, whether
// this instance or another one observed the fact. The function must not block.
// OnNotice must be called before Serve.
func (p *Plane) OnNotice(listener func(*peerpb.Notice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, listener)
}

// AddNotice stores a notice, applies it to the view, passes it to the registered
// functions and sends it to other instances. A notice that was seen before or has
// reached maxNoticeAge is ignored.
func (p *Plane) AddNotice(notice *peerpb.Notice) {
	p.mu.Lock()
	observed, isNew := p.notices.add(notice, p.now())
	listeners := p.listeners
	p.mu.Unlock()
	if !isNew {
		return
	}
	switch notice.GetKind() {
	case peerpb.Notice_BACKEND_SERVER_DRAINING:
		p.view.RecordServerDrain(notice.GetSubject(), notice.GetIncarnation(), observed)
	case peerpb.Notice_INSTANCE_DRAINING:
		p.view.RecordInstanceDrain(notice.GetSubject(), notice.GetIncarnation(), observed)
	}
	for _, listener := range listeners {
		listener(notice)
	}
	p.schedulePush()
}

func (p *Plane) outgoingNotices() []*peerpb.Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.outgoing(p.now())
}
