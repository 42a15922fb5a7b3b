package connection

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// acceptTime is how long a server that stops waits for a further connection. Those in the listener's queue
	// are open for their callers, and would be reset.
	acceptTime = 10 * time.Millisecond
	// maxAcceptTime bounds the time in which it accepts connections, since they may come without end.
	maxAcceptTime = 100 * time.Millisecond
)

// listener accepts the connections of a server.
type listener struct {
	*net.TCPListener
	server *Server
	// stoppedAt is when stop was called; nil before that.
	stoppedAt atomic.Pointer[time.Time]
}

// Accept waits for the next connection. It returns [net.ErrClosed] once the server has stopped and none is
// left in the queue.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptOne()
		if err != nil {
			return nil, err
		}
		if l.server.admit(c) {
			return c, nil
		}
	}
}

// acceptOne waits for the next connection.
func (l *listener) acceptOne() (*conn, error) {
	accepted, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		accepted, err = l.acceptQueued()
	}
	if err != nil {
		return nil, err
	}
	c := &conn{
		TCPConn:  accepted,
		server:   l.server,
		accepted: time.Now(),
	}
	c.usage.phase, c.usage.progressAt = InHeader, c.accepted
	if address, isTCP := accepted.RemoteAddr().(*net.TCPAddr); isTCP {
		c.usage.caller = address.AddrPort().Addr().Unmap()
	}
	return c, nil
}

// acceptQueued accepts a connection after the deadline, which may have passed while some were in the queue.
func (l *listener) acceptQueued() (*net.TCPConn, error) {
	if time.Since(*l.stoppedAt.Load()) > maxAcceptTime {
		return nil, net.ErrClosed
	}
	if err := l.SetDeadline(time.Now().Add(acceptTime)); err != nil {
		return nil, err
	}
	accepted, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	return accepted, err
}

// stop lets Accept return an error once no connection is left in the queue.
func (l *listener) stop() {
	now := time.Now()
	l.stoppedAt.Store(&now)
	// An error means that the listener is closed already.
	_ = l.SetDeadline(now)
}
