package controlplane

import (
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// OnNotice registers a function that is called once with every new notice, own
// and received ones. It must not block. Register before Serve.
func (p *Plane) OnNotice(listener func(*peerpb.Notice)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, listener)
}

// AddNotice takes over a notice, applies it to the view and spreads it. A notice
// that was seen before or is too old is dropped.
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
