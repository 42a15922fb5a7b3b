package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"trefoilline.example/trefoilline/header"
)

// gate stands between one try of a request and its connection. It admits one
// connection, and tells whether a byte was handed over. Once shut it stays shut,
// so that a late writer can't make a "not run" false.
type gate struct {
	mu     sync.Mutex
	conn   *conn
	handed bool
	shut   bool
	// inFlight counts the writes that have begun and not ended.
	inFlight int
}

// admit lets the connection carry the try. It reports false if the try already
// had a connection, as when the transport replays a request.
func (g *gate) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.carry(g)
	if g.conn != nil || g.shut {
		return false
	}
	g.conn = c
	return true
}

// begin asks to write on the connection.
func (g *gate) begin(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut || g.conn != c {
		return false
	}
	g.inFlight++
	return true
}

// end notes a write that wrote n bytes.
func (g *gate) end(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if n > 0 {
		g.handed = true
	}
}

// close shuts the gate. It returns proof that the try was not run if no byte
// has passed, and none is passing.
func (g *gate) close(reason header.Reason, cause error) (NotRun, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
	if g.handed || g.inFlight > 0 {
		return nil, false
	}
	return &unsent{
		reason: reason,
		cause:  cause,
	}, true
}

// connected tells whether the try had a connection.
func (g *gate) connected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conn != nil
}

// abandon closes the try's connection, so that nothing uses it again.
func (g *gate) abandon() {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		c.closeFor(g)
	}
}

// conn is a connection to a backend server that passes its writes through the
// gate of the try that it carries.
type conn struct {
	net.Conn
	mu   sync.Mutex
	gate *gate
}

func (c *conn) carry(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = g
}

// closeFor closes the connection unless it carries another try by now.
func (c *conn) closeFor(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate == g {
		_ = c.Close()
	}
}

// Write writes through the gate. A connection that carries no try writes
// nothing.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.gate
	c.mu.Unlock()
	if g == nil || !g.begin(c) {
		return 0, &AttemptEndedError{}
	}
	n, err := c.Conn.Write(p)
	g.end(n)
	return n, err
}

// dialer opens gated connections.
type dialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// newDialer returns a dialer with keep-alive probes that find connections that
// went silent while idle.
func newDialer(timeout time.Duration) *net.Dialer {
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

func (d *dialer) dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: inner,
	}, nil
}
