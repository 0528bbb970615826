package conf

import (
	"net"
	"net/netip"
	"time"

	"shallotpaddle/table"
)

// Defaults of the settings of one listener.
const (
	// DefaultHeaderBytes is the maximum size of a request's header.
	DefaultHeaderBytes = 16 << 10
	// DefaultBodyBytes is the maximum size of a caller's request body.
	DefaultBodyBytes = 64 << 20
	// DefaultControlBodyBytes is the maximum size of an operator's or peer's request
	// body.
	DefaultControlBodyBytes = 1 << 20
	// DefaultMaxConns is the maximum number of open connections.
	DefaultMaxConns = 1024
	// DefaultHeaderTimeout bounds the wait for a request's header.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultStallTimeout bounds the pauses within a request's body. It is several
	// times the pause that the retransmission of a packet causes.
	DefaultStallTimeout = 5 * time.Second

	// Upper bounds of the settings.
	headerBytesLimit = 1 << 20
	bodyBytesLimit   = 1 << 30
	connsLimit       = 65536
	readTimeoutLimit = time.Minute
)

// Listener has the address and limits of one listener.
type Listener struct {
	// Address is IP:port; port 0 selects a free port.
	Address string `yaml:"address"`
	// MaxHeaderBytes and MaxBodyBytes bound a request's header and body.
	MaxHeaderBytes int `yaml:"header"`
	MaxBodyBytes   int `yaml:"body"`
	// MaxConns is the maximum number of open connections; further ones wait.
	MaxConns int `yaml:"conns"`
	// HeaderTimeout bounds the wait for a request's header.
	HeaderTimeout table.Duration `yaml:"read"`
	// StallTimeout bounds the pauses within a request's body.
	StallTimeout table.Duration `yaml:"stall"`
}

// Listen has the listeners of the process; their addresses differ.
type Listen struct {
	Callers   Listener `yaml:"callers"`
	Operators Listener `yaml:"operators"`
	Peers     Listener `yaml:"peers"`
}

func defaultListen() Listen {
	l := Listener{
		MaxHeaderBytes: DefaultHeaderBytes, MaxBodyBytes: DefaultControlBodyBytes, MaxConns: DefaultMaxConns,
		HeaderTimeout: table.Duration(DefaultHeaderTimeout), StallTimeout: table.Duration(DefaultStallTimeout),
	}
	out := Listen{Callers: l, Operators: l, Peers: l}
	out.Callers.MaxBodyBytes = DefaultBodyBytes
	return out
}

func (l *Listen) check(c *checker) {
	l.Callers.check(c, "listen.callers")
	l.Operators.check(c, "listen.operators")
	l.Peers.check(c, "listen.peers")
	l.checkDistinct(c)
}

// checkDistinct reports listeners with the same address.
func (l *Listen) checkDistinct(c *checker) {
	all := []struct{ key, addr string }{
		{"listen.callers", l.Callers.Address},
		{"listen.operators", l.Operators.Address},
		{"listen.peers", l.Peers.Address},
	}
	for i, a := range all {
		for _, b := range all[:i] {
			ap, err := netip.ParseAddrPort(a.addr)
			if err == nil && ap.Port() != 0 && a.addr == b.addr {
				c.addFault(a.key+".address", "%s is the address of %s", a.addr, b.key)
			}
		}
	}
}

func (l *Listener) check(c *checker, key string) {
	c.checkListenAddr(key+".address", l.Address)
	c.checkInt(key+".header", l.MaxHeaderBytes, 1<<10, headerBytesLimit, "bytes")
	c.checkInt(key+".body", l.MaxBodyBytes, 1, bodyBytesLimit, "bytes")
	c.checkInt(key+".conns", l.MaxConns, 1, connsLimit, "connections")
	c.checkDuration(key+".read", l.HeaderTimeout, 10*time.Millisecond, readTimeoutLimit)
	c.checkDuration(key+".stall", l.StallTimeout, 10*time.Millisecond, readTimeoutLimit)
}

// checkListenAddr checks that the process can listen on the IP of an address.
func (c *checker) checkListenAddr(key, addr string) {
	ap, ok := c.parseAddrPort(key, addr)
	if !ok {
		return
	}
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ap.Addr(), 0).String())
	if err != nil {
		c.addFault(key, "can't listen on %s: the address is not one of this host", ap.Addr())
		return
	}
	_ = ln.Close()
}

// parseAddrPort parses an IP:port and reports one that is missing or malformed.
func (c *checker) parseAddrPort(key, addr string) (netip.AddrPort, bool) {
	if addr == "" {
		c.addFault(key, "missing, want IP:port")
		return netip.AddrPort{}, false
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		c.addFault(key, "%q is not IP:port", addr)
		return netip.AddrPort{}, false
	}
	return ap, true
}
