package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// link is the way of one machine to the store. While it is cut, nothing passes in either
// direction; what was sent meanwhile arrives when the cut heals, as with a partition under TCP.
type link struct {
	listener net.Listener
	store    string

	mu        sync.Mutex
	open      *sync.Cond
	cut       bool
	lastWatch time.Time // when the machine last began a watch
}

func newLink(store string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, store: store}
	l.open = sync.NewCond(&l.mu)
	go l.serve()
	return l, nil
}

func (l *link) serve() {
	for {
		machine, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			store, err := net.Dial("tcp", l.store)
			if err != nil {
				_ = machine.Close()
				return
			}
			go l.pass(machine, store, true)
			l.pass(store, machine, false)
		}()
	}
}

// pass copies one direction until it ends.
func (l *link) pass(from, to net.Conn, toStore bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		for l.cut {
			l.open.Wait()
		}
		if toStore && bytes.Contains(buffer[:n], []byte("/kv-watch?")) {
			l.lastWatch = time.Now()
		}
		l.mu.Unlock()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			return
		}
	}
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.open.Broadcast()
}

// watchBegan returns when the machine last began a watch of the store.
func (l *link) watchBegan() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastWatch
}
