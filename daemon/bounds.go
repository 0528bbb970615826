package daemon

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"shallotpaddle/conf"
	"shallotpaddle/intake"
	"shallotpaddle/peers"
)

const (
	// callerShare and otherShare divide the limit of descriptors for the connections of callers, and of
	// operators and peers. The rest is for the store, the workers and files.
	callerShare = 2
	otherShare  = 8
	// spareShare divides the number of callers' connections for those that are accepted besides,
	// on which probes and further requests are answered.
	spareShare = 8
	minSpare   = 8
	// writeTimeout is how long a client may leave a part of an answer unread. Parts have up to 64 KB:
	// links with 3 KB/s suffice.
	writeTimeout = 30 * time.Second
	// socketShare divides the memory for the receive buffers of all sockets.
	socketShare = 8
	// minSocketBytes is the least receive buffer, as for node; more than maxSocketBytes is of
	// no use on links with 100 Mbit/s and 80 ms.
	minSocketBytes, maxSocketBytes = 16 << 10, 1 << 20
)

// bounds are those of the process and of its listeners.
type bounds struct {
	process                   intake.Limits
	callers, operators, peers intake.Bounds
}

// newBounds returns the bounds that follow from the settings.
func newBounds(settings *conf.Settings) bounds {
	limits, listen := settings.Limits(), settings.Listen()
	memory, files := int64(limits.MemoryMB)<<20, limits.MaxFiles
	if memory == 0 {
		memory = machineMemory()
	}
	if files == 0 {
		files = fileLimit()
	}
	return boundsFor(memory, files, limits.MaxRequests, listen)
}

func boundsFor(memory int64, files, requests int, listen conf.Listen) bounds {
	var b bounds
	conns := min(listen.Callers.MaxConns, max(files/callerShare, 1))
	spare := min(max(conns/spareShare, minSpare), max(files/callerShare-conns, 0))
	if spare < minSpare { // the descriptors leave no more: fewer requests at once
		spare = min(minSpare, conns-1)
		conns -= spare
	}
	if requests == 0 {
		requests = conns
	}
	b.callers = listenerBounds(conns+spare, listen.Callers)
	b.callers.Requests = min(requests, conns)
	b.operators = listenerBounds(min(listen.Operators.MaxConns, max(files/otherShare, 1)), listen.Operators)
	b.peers = listenerBounds(min(listen.Peers.MaxConns, max(files/otherShare, 1), peers.MaxInboundConns/2), listen.Peers)
	b.process = intake.DefaultLimits(memory, files)
	all := int64(b.callers.Conns + b.operators.Conns + b.peers.Conns)
	// The kernel doubles the size for its own needs.
	b.process.SocketBytes = int(min(max(memory/socketShare/all/2, minSocketBytes), maxSocketBytes))
	return b
}

func listenerBounds(conns int, l conf.Listener) intake.Bounds {
	return intake.Bounds{Conns: conns, Pending: conns, HeaderBytes: l.MaxHeaderBytes, WriteTimeout: writeTimeout}
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return math.MaxInt64 / 2 // unknown: no bound by memory
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// fileLimit returns the largest number of open descriptors of the process.
func fileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32 // unknown: no bound by descriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
