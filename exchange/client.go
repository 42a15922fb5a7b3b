package exchange

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/transport"
)

// Defaults for the fields of [Client] that are zero.
const (
	DefaultConnectTimeout   = 2 * time.Second
	DefaultIdleTimeout      = 15 * time.Second
	DefaultMaxIdlePerServer = 16
	DefaultResponseTimeout  = 5 * time.Second
)

// unusedPoolTTL is how long the connection pool of a backend server is kept
// after the last request to that server.
const unusedPoolTTL = 10 * time.Minute

// TCP keep-alive settings: an idle connection is probed after keepAliveIdle, and
// closed after keepAliveCount probes, keepAliveInterval apart, without a reply.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// maxResponseHeaderSize limits the headers of a response, in bytes, together with those of
// interim responses before it. Bytes that are no response may come without end, from many
// servers at the same time.
const maxResponseHeaderSize = 128 << 10

// Client sends requests to backend servers and pools connections to them. The
// zero value is ready to use. A Client is safe for concurrent use and must not be
// copied.
type Client struct {
	// ConnectTimeout limits the time to open a connection, if Dial is nil;
	// [DefaultConnectTimeout] if zero.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open;
	// [DefaultIdleTimeout] if zero.
	IdleTimeout time.Duration
	// MaxIdlePerServer is the number of idle connections kept open to each
	// backend server; [DefaultMaxIdlePerServer] if zero.
	MaxIdlePerServer int
	// ResponseTimeout limits the wait for the response headers on a reused
	// connection, in addition to the request's deadline;
	// [DefaultResponseTimeout] if zero. Time in which the caller sends the body
	// does not count. It does not apply to new connections, which can't have
	// become unresponsive while idle. The attempt after a timeout uses a new
	// connection, so a slow backend server then has until the deadline.
	ResponseTimeout time.Duration
	// StallTimeout limits the wait for the next bytes of a response body; no
	// limit if zero.
	StallTimeout time.Duration
	// Dial opens connections; a [net.Dialer] if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialect has the names of the headers; [header.DefaultDialect] if nil.
	Dialect *header.Dialect
	// ReuseForNonIdempotent lets non-idempotent requests use connections that
	// are already open. This saves the round trip that opens a connection. If
	// the reused connection has become unresponsive, the outcome of the request
	// is unknown.
	ReuseForNonIdempotent bool
	// AllowCloseDelimited accepts responses whose end is marked only by the
	// close of the connection. A connection reset still breaks such a response.
	AllowCloseDelimited bool
	// ServersEchoID states that every backend server echoes the request's ID in
	// its responses, so that even the first connection to a server is pooled.
	// As without ServersEchoID, a response without an ID is accepted only on a
	// new connection to a server that has not echoed an ID before.
	ServersEchoID bool
	// RequireID rejects responses without the request's ID also on new connections: what listens
	// at the address is no backend server then.
	RequireID bool
	// Clock returns the current time, from which the time left until a deadline
	// is computed; [time.Now] if nil.
	Clock func() time.Time
	// OnViolation, if not nil, is called for each [Violation].
	OnViolation func(Violation)

	mu sync.Mutex
	// pools has the connections to backend servers that echo request IDs.
	// Without the echo, a response on a reused connection can't be told from
	// the response to an earlier request.
	pools map[netip.AddrPort]*pool
	// unpooled opens a new connection for each request.
	unpooled *http.Transport
}

// pool has the open connections to one backend server.
type pool struct {
	transport *http.Transport
	lastUsed  time.Time
	// echoesID is set once a response of the backend server had a request ID.
	echoesID bool
}

// Violation reports that the invariant of at most one run is broken: backend
// servers may have run a non-idempotent request more than once.
type Violation struct {
	RequestID string
	// PossibleRuns is the number of attempts in which a server may have run the
	// request.
	PossibleRuns int
}

// RemoveServer closes the idle connections to a backend server and removes its
// pool.
func (c *Client) RemoveServer(server netip.AddrPort) {
	c.mu.Lock()
	p, found := c.pools[server]
	delete(c.pools, server)
	c.mu.Unlock()
	if found {
		p.transport.CloseIdleConnections()
	}
}

// resetPool closes the idle connections to a backend server and replaces its
// pool. Connections in use close when they become idle.
func (c *Client) resetPool(server netip.AddrPort) {
	c.mu.Lock()
	p, found := c.pools[server]
	if found {
		c.pools[server] = c.newPool()
		c.pools[server].echoesID = p.echoesID
	}
	c.mu.Unlock()
	if found {
		p.transport.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	for _, p := range pools {
		p.transport.CloseIdleConnections()
	}
}

func (c *Client) dialect() *header.Dialect {
	if c.Dialect == nil {
		return &header.DefaultDialect
	}
	return c.Dialect
}

func (c *Client) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock()
}

// selectTransport returns the transport for an attempt: the pool of the backend
// server if there is one and canReuse is set, otherwise a transport that opens a
// new connection. With ServersEchoID it adds a missing pool. It also reports
// whether the backend server is known to echo request IDs.
func (c *Client) selectTransport(server netip.AddrPort, canReuse bool) (*http.Transport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, hasPool := c.pools[server]
	if !hasPool && c.ServersEchoID {
		p, hasPool = c.addPool(server), true
	}
	echoesID := hasPool && p.echoesID
	if hasPool {
		p.lastUsed = c.now()
	}
	if hasPool && canReuse {
		return p.transport, echoesID
	}
	if c.unpooled == nil {
		c.unpooled = c.newTransport()
		c.unpooled.DisableKeepAlives = true
	}
	return c.unpooled, echoesID
}

// enablePool records that the backend server echoes request IDs. From then on,
// connections to it are pooled.
func (c *Client) enablePool(server netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.pools[server]
	if !found {
		p = c.addPool(server)
	}
	p.echoesID = true
}

// addPool adds a pool for the backend server and removes unused pools. c.mu
// must be held.
func (c *Client) addPool(server netip.AddrPort) *pool {
	if c.pools == nil {
		c.pools = make(map[netip.AddrPort]*pool)
	}
	c.removeUnusedPools()
	p := c.newPool()
	c.pools[server] = p
	return p
}

// removeUnusedPools removes the pools of backend servers that got no request for
// unusedPoolTTL. Their idle connections have already timed out.
func (c *Client) removeUnusedPools() {
	now := c.now()
	for server, p := range c.pools {
		if now.Sub(p.lastUsed) > unusedPoolTTL {
			delete(c.pools, server)
		}
	}
}

func (c *Client) newPool() *pool {
	return &pool{
		transport: c.newTransport(),
		lastUsed:  c.now(),
	}
}

func (c *Client) newTransport() *http.Transport {
	dial := c.Dial
	if dial == nil {
		dial = newKeepAliveDialer(orDefault(c.ConnectTimeout, DefaultConnectTimeout)).DialContext
	}
	d := &guardingDialer{
		dial: transport.WithLossDetection(dial),
	}
	return &http.Transport{
		DialContext:            d.dialGuarded,
		DisableCompression:     true,
		IdleConnTimeout:        orDefault(c.IdleTimeout, DefaultIdleTimeout),
		MaxIdleConnsPerHost:    orDefault(c.MaxIdlePerServer, DefaultMaxIdlePerServer),
		MaxResponseHeaderBytes: maxResponseHeaderSize,
	}
}

// orDefault returns the value, or the fallback if the value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
