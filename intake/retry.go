package intake

import (
	"errors"
	"net"
	"time"

	"github.com/coder/quartz"
	"golang.org/x/sys/unix"
)

// Retry returns a listener that goes on when a connection can't be accepted for lack of descriptors or
// memory: only its end is an error.
func Retry(l net.Listener, clock quartz.Clock) net.Listener { return &retrying{l, clock} }

type retrying struct {
	net.Listener
	clock quartz.Clock
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

// Accept returns the next connection.
func (l *retrying) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if !isShortage(err) {
			return c, err
		}
		<-l.clock.NewTimer(acceptPause).C
	}
}

// isShortage tells whether a connection could not be accepted for lack of resources.
func isShortage(err error) bool {
	for _, e := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
