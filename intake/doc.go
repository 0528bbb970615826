// Package intake bounds what clients that are not trusted can make a process hold: connections,
// headers, bodies, and what bodies decode to. A Gate is shared by all listeners of a process;
// Ledger decides, without I/O.
package intake

import (
	"errors"
	"time"
)

// ErrNoRoom is returned for a request whose body or decoded form does not fit. The request was not
// carried out, and may be sent again.
var ErrNoRoom = errors.New("no room for the request")

// ErrTooLong is returned for a body that is longer than allowed.
var ErrTooLong = errors.New("body is too long")

// SmallBody is the length up to which a body counts as small: it takes room that larger ones don't
// get, and is decoded without a bound.
const SmallBody = 4 << 10

// Limits bound what clients can make a process hold.
type Limits struct {
	// BodyBytes bounds the bodies that are being received or waiting, and the long headers.
	BodyBytes int64
	// WorkBytes bounds what large bodies are taken to need from decoding to the answer.
	WorkBytes int64
	// Conns bounds the callers' connections, Pending those without a complete request, Requests their
	// requests in progress, ProbeConns the connections of each other listener.
	Conns, Pending, Requests, ProbeConns int
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// SocketBytes is the size of a socket's receive buffer.
	SocketBytes int
}

const (
	// bodyDivisor and workDivisor divide the memory of the process for the limits. A Go program
	// takes up to twice its live memory, and the program, its owners and its connections need the
	// rest.
	bodyDivisor = 8
	workDivisor = 8
	// minBytes is the least room for bodies and for work.
	minBytes = 1 << 20
	// connDivisor divides the limit of descriptors: the rest is for the store and the workers.
	connDivisor = 2
	// pendingDivisor divides the limit of connections.
	pendingDivisor = 2
	// spareDivisor divides the limit of connections for those that are left when the requests in
	// progress are at their bound: on these, further requests are answered.
	spareDivisor = 8
	probeConns   = 64
	headerBytes  = 64 << 10
	// socketDivisor divides the memory for the receive buffers of all sockets.
	socketDivisor = 8
	// minSocketBytes is the least receive buffer. With less, a body on loopback advances by the
	// delayed acknowledgements.
	minSocketBytes, maxSocketBytes = 16 << 10, 64 << 10
	// smallShare divides the room of bodies for the part that is kept for small ones.
	smallShare = 4
)

// DefaultLimits returns the limits of a process with an amount of memory and a number of
// descriptors.
func DefaultLimits(memory int64, files int) Limits {
	conns := max(files/connDivisor, 1)
	return Limits{
		BodyBytes: max(memory/bodyDivisor, minBytes), WorkBytes: max(memory/workDivisor, minBytes),
		Conns: conns, Pending: max(conns/pendingDivisor, 1), Requests: DefaultRequests(conns), ProbeConns: min(probeConns, conns), HeaderBytes: headerBytes,
		// The kernel doubles the size for its own needs.
		SocketBytes: int(min(max(memory/socketDivisor/int64(conns)/2, minSocketBytes), maxSocketBytes)),
	}
}

// DefaultRequests returns the default bound of requests in progress on a number of connections.
func DefaultRequests(conns int) int { return max(conns-conns/spareDivisor, 1) }

const (
	// stallTime is the silence after which a body may be closed for another one. Callers within
	// the platform's limits send a body without pauses of that length.
	stallTime = 500 * time.Millisecond
	// A body older than rateTime may be closed for another one if it came at less than minRate
	// bytes a second on average. The server's read timeout of 5 s asks for more of the largest.
	rateTime = time.Second
	minRate  = 32 << 10
	// nearlyShare divides the length of a body for the rest with which it counts as nearly
	// complete.
	nearlyShare = 8
)

// Cause is why a connection was closed or a request refused.
type Cause uint8

// Causes.
const (
	Silent Cause = iota // closed: no complete header for the longest time
	Idle                // closed: without a request for the longest time
	Slow                // closed: a body with the slowest progress
	Full                // refused: a connection, as all others are in use
	Header              // refused: no room for a long header
	Body                // refused: no room for a body
	Work                // refused: no room to decode a body
	Busy                // refused: too many requests in progress
	causes
)

var causeNames = [causes]string{"silent", "idle", "slow", "full", "header", "body", "work", "busy"}

// String returns the cause in the form used by logs and metrics.
func (c Cause) String() string { return causeNames[c] }
