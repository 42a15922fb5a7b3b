package exchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/header"
)

// writeGuard controls what an attempt writes to connections. It allows writes to
// one connection only and records whether any byte was written. After blockWrites
// it allows none, so that a late write can't make a [NotRun] outcome false.
type writeGuard struct {
	mu         sync.Mutex
	conn       *guardedConn
	hasWritten bool
	blocked    bool
	// context is that of the attempt; nil if it never ends before the attempt does.
	context context.Context
	// isComplete is true once the response has arrived whole.
	isComplete atomic.Bool
	// cut is not sent of the request line. It is set before the attempt has a connection.
	cut requestLineCut
	// activeWrites counts the writes that have begun and not ended.
	activeWrites int
}

// attach makes c the connection of the attempt. It returns false if the attempt
// has ended or already has a connection, as when the transport retries a request.
func (g *writeGuard) attach(c *guardedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.setGuard(g)
	if g.conn != nil || g.blocked {
		return false
	}
	g.conn = c
	return true
}

// beginWrite reports whether a write to the connection is allowed, and if so
// counts it as active.
func (g *writeGuard) beginWrite(c *guardedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blocked || g.conn != c {
		return false
	}
	g.activeWrites++
	return true
}

// takeCut returns what is not sent of the request line, and a zero value after the first call.
func (g *writeGuard) takeCut() requestLineCut {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := g.cut
	g.cut = requestLineCut{}
	return cut
}

// endWrite ends an active write that wrote n bytes.
func (g *writeGuard) endWrite(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeWrites--
	if n > 0 {
		g.hasWritten = true
	}
}

// blockWrites blocks all further writes. It returns a [NotRun] outcome and true if no
// byte was written and no write is active.
func (g *writeGuard) blockWrites(reason header.Reason, cause error) (NotRun, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = true
	if g.hasWritten || g.activeWrites > 0 {
		return nil, false
	}
	return &unsent{
		reason: reason,
		cause:  cause,
	}, true
}

// hasConnection reports whether the attempt got a connection.
func (g *writeGuard) hasConnection() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil
}

// closeConnection closes the attempt's connection, so that it is not reused.
func (g *writeGuard) closeConnection() {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		c.closeFor(g)
	}
}

// guardedConn is a connection to a backend server. Its writes need the permission
// of the guard of the attempt that uses the connection. It limits the heads of responses.
type guardedConn struct {
	net.Conn
	mu    sync.Mutex
	guard *writeGuard
	// head counts the lines of the head of the response to the attempt that uses the connection.
	head headCounter
	// headError is not nil once a head had too many lines.
	headError error
}

func (c *guardedConn) setGuard(g *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard, c.head = g, headCounter{}
}

// Read reads from the connection. It returns a [HeadTooLongError] if the head of a response is too long.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if tooLong := c.head.count(p[:n]); tooLong != nil {
		c.headError = tooLong
		return 0, tooLong
	}
	return n, err
}

// headError returns the [HeadTooLongError] of the attempt's connection, or nil. What the transport returns does not always tell.
func (g *writeGuard) headError() error {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headError
}

// closeFor closes the connection, unless another attempt uses it by now.
func (c *guardedConn) closeFor(g *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard == g {
		c.reset()
		_ = c.Conn.Close()
	}
}

// Close closes the connection, as the transport does when the context of an attempt ends. It resets the connection of an attempt that was
// given up.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard != nil && c.guard.isGivenUp() {
		c.reset()
	}
	return c.Conn.Close()
}

// reset makes the close of the connection reset it, so that the system drops the bytes of the request that the server does not have yet.
// Otherwise a server that can't be reached for a while would get a request that was given up long ago.
func (c *guardedConn) reset() {
	if tcp, isTCP := c.Conn.(interface{ SetLinger(seconds int) error }); isTCP {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}

// isGivenUp reports whether the attempt has ended without a whole response.
func (g *writeGuard) isGivenUp() bool {
	return g.context != nil && g.context.Err() != nil && !g.isComplete.Load()
}

// Write writes to the connection if the guard allows it. It returns an
// [AttemptEndedError] if not, or if no attempt uses the connection.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.guard
	c.mu.Unlock()
	if g == nil || !g.beginWrite(c) {
		return 0, &AttemptEndedError{}
	}
	sent := g.takeCut().apply(p)
	n, err := c.Conn.Write(sent)
	g.endWrite(n)
	if err != nil {
		return n, err
	}
	return len(p), nil
}

// guardingDialer opens guarded connections.
type guardingDialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// newKeepAliveDialer returns a dialer whose connections send TCP keep-alive probes, which
// find connections that became unresponsive while idle.
func newKeepAliveDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

func (d *guardingDialer) dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{
		Conn: inner,
	}, nil
}
