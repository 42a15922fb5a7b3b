package connection

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// conn is an accepted connection. It is safe for concurrent use.
type conn struct {
	*net.TCPConn
	server   *Server
	accepted time.Time
	// received is the number of bytes that were received since the last were sent.
	received atomic.Int64
	sent     atomic.Int64
	// ended is true once the other end has closed the connection, or it broke.
	ended  atomic.Bool
	closed atomic.Bool
	// state is what the HTTP server does with the connection, an [http.ConnState].
	state atomic.Int32
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

// Close closes the connection once the caller has read the last answer, for which it waits, and logs it if the
// caller may have lost something by it.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if !c.ended.Load() && !(c.isAnswerOnItsWay() && c.awaitDelivery()) {
		c.logLoss()
	}
	err := c.TCPConn.Close()
	c.server.remove(c)
	return err
}

// CloseWrite closes the connection like Close. The HTTP server calls it after an answer to a request whose body it has not
// read, and would then wait for a fixed time in which it reads nothing.
func (c *conn) CloseWrite() error { return c.Close() }

// SetReadDeadline sets the time at which reads end. A connection that is to be closed keeps its own.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.ending.Load() {
		t = past
	}
	return c.TCPConn.SetReadDeadline(t)
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// isIn reports whether the HTTP server's state of the connection is the given one.
func (c *conn) isIn(state http.ConnState) bool { return http.ConnState(c.state.Load()) == state }

// endIfSilent lets the HTTP server close the connection if nothing has arrived since the last answer. What
// arrives before the server has closed it is read and answered. A connection that Close has begun to close stays open until
// its caller has the last answer.
func (c *conn) endIfSilent() {
	// A read that begins after its deadline returns nothing, although the system may hold a request.
	if c.closed.Load() || c.received.Load() > 0 || c.hasUnread() {
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

// isTimeout reports whether a read ended because of its deadline.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
