package connection

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"trefoilline.example/trefoilline/observe"
)

// conn is an accepted connection. It is safe for concurrent use.
type conn struct {
	*net.TCPConn
	log      observe.Log
	accepted time.Time
	// received is the number of bytes that were received since the last were sent.
	received atomic.Int64
	sent     atomic.Int64
	// ended is true once the other end has closed the connection, or it broke.
	ended  atomic.Bool
	closed atomic.Bool
	// state is what the HTTP server does with the connection. The server's mutex guards it.
	state http.ConnState
	// ending is true while the connection is to be closed unless something arrives.
	ending atomic.Bool
}

// Read reads what the caller has sent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.received.Add(int64(n))
	if n > 0 {
		c.resume()
	}
	if err != nil && !isTimeout(err) {
		c.ended.Store(true)
	}
	return n, err
}

// Write sends a part of an answer.
func (c *conn) Write(b []byte) (int, error) {
	c.received.Store(0)
	n, err := c.TCPConn.Write(b)
	c.sent.Add(int64(n))
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// Close closes the connection, and logs it if the caller may have lost something by it.
func (c *conn) Close() error {
	if !c.closed.Swap(true) && !c.ended.Load() {
		c.logLoss()
	}
	return c.TCPConn.Close()
}

// SetReadDeadline sets the time at which reads end. A connection that is to be closed keeps its own.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.ending.Load() {
		t = past
	}
	return c.TCPConn.SetReadDeadline(t)
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// endIfSilent lets the HTTP server close the connection if nothing has arrived since the last answer. What
// arrives before the server has closed it is read and answered.
func (c *conn) endIfSilent() {
	if c.received.Load() > 0 {
		return
	}
	c.ending.Store(true)
	// An error means that the connection is closed.
	_ = c.TCPConn.SetReadDeadline(past)
}

// resume keeps the connection, since something has arrived.
func (c *conn) resume() {
	if c.ending.Swap(false) {
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
}

// logLoss logs what a close by this host may cost the caller.
func (c *conn) logLoss() {
	received, unread := c.received.Load(), c.hasUnread()
	if received == 0 && !unread {
		return
	}
	c.log.Write(observe.ConnectionClosedEarly, zap.String("caller", c.RemoteAddr().String()),
		zap.Int64("unanswered", received), zap.Bool("unread", unread), zap.Int64("sent", c.sent.Load()),
		zap.Duration("open", time.Since(c.accepted)))
}

// hasUnread reports whether the system holds received bytes that were not read. The system drops what is
// still to be sent if such a connection is closed.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	hasUnread := false
	err = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		n, _, peekErr := unix.Recvfrom(int(descriptor), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasUnread = peekErr == nil && n > 0
	})
	return err == nil && hasUnread
}

// isTimeout reports whether a read ended because of its deadline.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
