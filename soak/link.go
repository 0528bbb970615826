package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy"
)

// link is a fault proxy in front of a store or a worker. Faults on it may overlap.
type link struct {
	mu     sync.Mutex
	proxy  *toxiproxy.Proxy
	cuts   int // number of faults that cut it now
	toxics int // number of toxics that were added
}

func newLink(name, listen, upstream string) (*link, error) {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, listen, upstream
	if err := p.Start(); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	return &link{proxy: p}, nil
}

// cut closes all connections and refuses new ones until join.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts++; l.cuts == 1 {
		l.proxy.Stop()
	}
}

// join undoes one cut.
func (l *link) join() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts--; l.cuts > 0 {
		return
	}
	for l.proxy.Start() != nil {
		time.Sleep(10 * time.Millisecond) // the former listener may not be closed yet
	}
}

func (l *link) reset() {
	l.cut()
	l.join()
}

// toxic adds a toxic to some of the connections, and returns the function that removes
// it. stream is upstream, to the server, or downstream.
func (l *link) toxic(kind, stream string, share float64, attributes string) func() {
	l.mu.Lock()
	l.toxics++
	name := fmt.Sprintf("%s%d", kind, l.toxics)
	l.mu.Unlock()
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name":%q,"type":%q,"stream":%q,"toxicity":%g,"attributes":%s}`, name, kind, stream, share, attributes)))
	if err != nil {
		panic(err) // the texts are constants
	}
	return func() { _ = l.proxy.Toxics.RemoveToxic(name) } // it may have ended with its connections
}
