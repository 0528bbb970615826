package conf

import (
	"time"

	"shallotpaddle/table"
)

// Self has the name, data centre and address of the process.
type Self struct {
	// Name is unique among the entries: lower case letters, digits and dashes.
	Name string `yaml:"name"`
	// DC is the entry's data centre.
	DC string `yaml:"dc"`
	// Address is the IP:port at which other entries reach this one.
	Address string `yaml:"address"`
}

func (s *Self) check(c *checker) {
	c.checkName("self.name", s.Name)
	c.checkName("self.dc", s.DC)
	if ap, ok := c.parseAddrPort("self.address", s.Address); ok && ap.Addr().IsUnspecified() {
		c.addFault("self.address", "%s is no address that other entries can reach", s.Address)
	}
}

func (c *checker) checkName(key, s string) {
	if !table.ValidName(s) {
		c.addFault(key, "%q is not a name of at most %d lower case letters, digits and dashes", s, table.MaxName)
	}
}

// Peers has the addresses of the other entries and the heartbeat interval.
type Peers struct {
	// Addresses are IP:port of entries; the process's own address may be among them.
	Addresses []string `yaml:"addresses"`
	// HeartbeatInterval is the interval between heartbeats to each peer.
	HeartbeatInterval table.Duration `yaml:"heartbeat"`
}

// DefaultHeartbeatInterval is the interval between heartbeats to each peer.
const DefaultHeartbeatInterval = time.Second

func defaultPeers() Peers { return Peers{HeartbeatInterval: table.Duration(DefaultHeartbeatInterval)} }

func (p *Peers) check(c *checker) {
	seen := map[string]bool{}
	for i, a := range p.Addresses {
		key := itemKey("peers.addresses", i)
		c.parseAddrPort(key, a)
		if seen[a] {
			c.addFault(key, "%s is listed twice", a)
		}
		seen[a] = true
	}
	c.checkDuration("peers.heartbeat", p.HeartbeatInterval, 10*time.Millisecond, 10*time.Second)
}
