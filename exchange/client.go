package exchange

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoilline.example/trefoilline/header"
)

// The settings of a client that are not set.
const (
	DefaultConnectTimeout   = 2 * time.Second
	DefaultIdleTimeout      = 15 * time.Second
	DefaultMaxIdlePerServer = 16
	DefaultResponseTimeout  = 5 * time.Second
)

// poolMemory is how long the connections to a backend server are provided for
// after the last request to it.
const poolMemory = 10 * time.Minute

// Keep-alive probes find an idle connection that went silent after the idle
// time and count intervals.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// maxHeaderSize bounds the headers of an answer, in bytes.
const maxHeaderSize = 1 << 20

// Client sends requests to backend servers. The zero value is ready. It is safe
// for concurrent use and must not be copied.
type Client struct {
	// ConnectTimeout bounds the opening of a connection;
	// [DefaultConnectTimeout] if zero.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection is kept idle; [DefaultIdleTimeout]
	// if zero.
	IdleTimeout time.Duration
	// MaxIdlePerServer is how many idle connections are kept for each backend
	// server; [DefaultMaxIdlePerServer] if zero.
	MaxIdlePerServer int
	// ResponseTimeout bounds the wait for an answer to begin on a connection that
	// was used before, besides the request's deadline; [DefaultResponseTimeout] if
	// zero. A new connection has not gone silent, so a slow backend server gets
	// all the time there on the next try.
	ResponseTimeout time.Duration
	// StallTimeout bounds the wait for the next bytes of an answer; none if
	// zero.
	StallTimeout time.Duration
	// Dial opens connections; a [net.Dialer] if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialect names the headers; [header.DefaultDialect] if nil.
	Dialect *header.Dialect
	// ReuseForNonIdempotent lets requests that may run only once use connections that were
	// open before. Such a connection may have gone silent, and what became of
	// the request is then not known; a new one costs a round trip.
	ReuseForNonIdempotent bool
	// AllowCloseDelimited lets answers pass that end with their connection. A connection
	// that is reset still breaks them.
	AllowCloseDelimited bool
	// ServersEchoID tells that every backend server echoes names, so that the first
	// connection to one is kept too. An answer without a name counts only on a
	// connection that carried nothing before.
	ServersEchoID bool
	// Clock tells the time left until deadlines; [time.Now] if nil.
	Clock func() time.Time
	// OnViolation is told of each broken invariant. It may be nil.
	OnViolation func(Violation)

	mu sync.Mutex
	// pools keeps connections to the backend servers that echo request names.
	// Without the echo nothing tells an answer on a kept connection from
	// that to another request.
	pools map[netip.AddrPort]*pool
	fresh *http.Transport
}

// pool is the kept connections to a backend server.
type pool struct {
	transport *http.Transport
	used      time.Time
	// echoes tells that an answer of the backend server bore a name.
	echoes bool
}

// Violation is an invariant that did not hold: a request that may run only once
// was handed over more than once.
type Violation struct {
	RequestID    string
	PossibleRuns int
}

// RemoveServer closes the idle connections to a backend server and drops what is kept
// for it.
func (c *Client) RemoveServer(server netip.AddrPort) {
	c.mu.Lock()
	p, found := c.pools[server]
	delete(c.pools, server)
	c.mu.Unlock()
	if found {
		p.transport.CloseIdleConnections()
	}
}

// drop closes the idle connections to a backend server. Those in use close when
// they become idle.
func (c *Client) drop(server netip.AddrPort) {
	c.mu.Lock()
	p, found := c.pools[server]
	if found {
		c.pools[server] = c.newPool()
		c.pools[server].echoes = p.echoes
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

// transport returns the connections to use for the request: kept ones if it may
// use them and the backend server echoes names, else a new one. It tells whether
// the backend server is known to echo names.
func (c *Client) transport(server netip.AddrPort, mayUseKept bool) (*http.Transport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, isPooled := c.pools[server]
	if !isPooled && c.ServersEchoID {
		p, isPooled = c.addPool(server), true
	}
	echoes := isPooled && p.echoes
	if isPooled {
		p.used = c.now()
	}
	if isPooled && mayUseKept {
		return p.transport, echoes
	}
	if c.fresh == nil {
		c.fresh = c.newTransport()
		c.fresh.DisableKeepAlives = true
	}
	return c.fresh, echoes
}

// keep lets connections to the backend server be kept from now on.
func (c *Client) keep(server netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.pools[server]
	if !found {
		p = c.addPool(server)
	}
	p.echoes = true
}

// addPool provides for connections to a backend server.
func (c *Client) addPool(server netip.AddrPort) *pool {
	if c.pools == nil {
		c.pools = make(map[netip.AddrPort]*pool)
	}
	c.forgetUnused()
	p := c.newPool()
	c.pools[server] = p
	return p
}

// forgetUnused drops what is kept for backend servers that are gone. Their idle
// connections have closed long before.
func (c *Client) forgetUnused() {
	now := c.now()
	for server, p := range c.pools {
		if now.Sub(p.used) > poolMemory {
			delete(c.pools, server)
		}
	}
}

func (c *Client) newPool() *pool {
	return &pool{
		transport: c.newTransport(),
		used:      c.now(),
	}
}

func (c *Client) newTransport() *http.Transport {
	dial := c.Dial
	if dial == nil {
		dial = newDialer(orDefault(c.ConnectTimeout, DefaultConnectTimeout)).DialContext
	}
	d := &dialer{
		dial: dial,
	}
	return &http.Transport{
		DialContext:            d.dialGated,
		DisableCompression:     true,
		IdleConnTimeout:        orDefault(c.IdleTimeout, DefaultIdleTimeout),
		MaxIdleConnsPerHost:    orDefault(c.MaxIdlePerServer, DefaultMaxIdlePerServer),
		MaxResponseHeaderBytes: maxHeaderSize,
	}
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}
