package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy"
)

// link is a fault proxy in front of a store or a worker. Faults on it may overlap.
//
// A toxic is never removed from connections that are open, as the fault proxy can wait for
// ever in that (seen with seed 204 under stress): another proxy without it takes its place.
type link struct {
	name, listen, upstream string

	mu     sync.Mutex
	proxy  *toxiproxy.Proxy
	cuts   int            // number of faults that cut it now
	toxics map[int]string // those of the present faults as JSON, by number
	added  int            // number of toxics that were added
}

func newLink(name, listen, upstream string) (*link, error) {
	l := &link{name: name, listen: listen, upstream: upstream, toxics: map[int]string{}}
	l.proxy = l.newProxy()
	if err := l.proxy.Start(); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	return l, nil
}

// newProxy returns a proxy with the present toxics, which is not started.
func (l *link) newProxy() *toxiproxy.Proxy {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = l.name, l.listen, l.upstream
	for _, text := range l.toxics {
		addToxic(p, text)
	}
	return p
}

func addToxic(p *toxiproxy.Proxy, text string) {
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		panic(err) // the texts are constants
	}
}

// stopLimit is how long a proxy is waited for: it may have to wait for a process that is
// paused. Its listener is closed at once.
const stopLimit = 200 * time.Millisecond

// stop closes the listener and the connections; l.mu is held.
func (l *link) stop() {
	done, p := make(chan struct{}), l.proxy
	go func() {
		p.Stop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopLimit):
	}
}

// restart starts a proxy with the present toxics; l.mu is held.
func (l *link) restart() {
	for {
		l.proxy = l.newProxy()
		if l.proxy.Start() == nil {
			return
		}
		time.Sleep(10 * time.Millisecond) // the former listener may not be closed yet
	}
}

// cut closes all connections and refuses new ones until join.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts++; l.cuts == 1 {
		l.stop()
	}
}

// join undoes one cut.
func (l *link) join() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts--; l.cuts == 0 {
		l.restart()
	}
}

func (l *link) reset() {
	l.cut()
	l.join()
}

// toxic adds a toxic to a share of the connections, and returns the function that removes
// it and resets them. stream is upstream, to the server, or downstream.
func (l *link) toxic(kind, stream string, share float64, attributes string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.added++
	n := l.added
	l.toxics[n] = fmt.Sprintf(`{"name":"%s%d","type":%q,"stream":%q,"toxicity":%g,"attributes":%s}`, kind, n, kind, stream, share, attributes)
	if l.cuts == 0 {
		go addToxic(l.proxy, l.toxics[n]) // it may wait for a process that is paused
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.toxics, n)
		if l.cuts == 0 {
			l.stop()
			l.restart()
		}
	}
}

// loopback hands out addresses of one loopback network, which no outgoing connection of
// another program can take.
type loopback struct {
	prefix string
	hold   net.Listener // keeps other soaks off the network
	port   atomic.Int32
}

// firstPort is the first port of a loopback network's addresses.
const firstPort = 20000

func newLoopback() (*loopback, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(255))
		l, err := net.Listen("tcp", prefix+"254:7000")
		if err != nil {
			continue
		}
		n := &loopback{prefix: prefix, hold: l}
		n.port.Store(firstPort)
		return n, nil
	}
	return nil, fmt.Errorf("soak: no loopback network is free")
}

func (n *loopback) address() string { return fmt.Sprintf("%s1:%d", n.prefix, n.port.Add(1)) }

func (n *loopback) close() { _ = n.hold.Close() }
