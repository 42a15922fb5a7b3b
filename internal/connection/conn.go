package connection

import (
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"trefoilline.example/trefoilline/observe"
)

// conn is an accepted connection. It is safe for concurrent use.
type conn struct {
	*net.TCPConn
	log observe.Log
	// received is the number of bytes that were received since the last were sent.
	received atomic.Int64
	accepted time.Time
	sent     atomic.Int64
	// ended is true once the other end has closed the connection, or it broke.
	ended  atomic.Bool
	closed atomic.Bool
}

// Read reads what the caller has sent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.received.Add(int64(n))
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
