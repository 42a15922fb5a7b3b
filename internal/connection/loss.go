package connection

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"trefoilline.example/trefoilline/observe"
)

// maxLossesLogged is how many losses a server with limits logs between two checks of its connections, unless it stops. A
// crowd of callers may cause thousands.
const maxLossesLogged = 5

// logLoss logs what a close by this host may cost the caller.
func (c *conn) logLoss() {
	received, unread, unsent := c.received.Load(), c.hasUnread(), c.unsentBytes()
	if received == 0 && !unread && unsent == 0 {
		return
	}
	if c.server.Limits != nil && !c.server.isStopping.Load() && c.server.lossesLogged.Add(1) > maxLossesLogged {
		return
	}
	c.server.Log.Write(observe.ConnectionClosedEarly, zap.String("caller", c.RemoteAddr().String()),
		zap.Int64("unanswered", received), zap.Bool("unread", unread), zap.Int64("sent", c.sent.Load()),
		zap.Int("unsent", unsent), zap.Duration("open", time.Since(c.accepted)))
}

// hasUnread reports whether the system holds received bytes that were not read. The system drops what is
// still to be sent if such a connection is closed.
func (c *conn) hasUnread() bool {
	hasUnread := false
	c.control(func(descriptor int) {
		var first [1]byte
		n, _, err := unix.Recvfrom(descriptor, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasUnread = err == nil && n > 0
	})
	return hasUnread
}

// unsentBytes returns how many bytes the caller's system has not acknowledged; zero if that is not known.
func (c *conn) unsentBytes() int {
	unsent := 0
	c.control(func(descriptor int) {
		if n, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return unsent
}

// control calls the function with the connection's descriptor, unless the connection is closed.
func (c *conn) control(f func(descriptor int)) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(descriptor uintptr) { f(int(descriptor)) })
}
