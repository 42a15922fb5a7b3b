package admission_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

var errRefused = errors.New("connection refused")

// network connects servers in memory, so that a whole fleet runs in a synctest
// bubble.
type network struct {
	mu       sync.Mutex
	next     uint16
	accepted map[netip.AddrPort]chan net.Conn
}

func newNetwork() *network {
	return &network{
		accepted: make(map[netip.AddrPort]chan net.Conn),
	}
}

// dial connects to a server that listens, or refuses.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	accepted := n.accepted[netip.MustParseAddrPort(address)]
	n.next++
	port := n.next
	n.mu.Unlock()
	if accepted == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	from := netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), port)
	end := &farEnd{
		Conn: far,
		from: from,
	}
	select {
	case accepted <- end:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// farEnd has an address of its own for each connection.
type farEnd struct {
	net.Conn
	from netip.AddrPort
}

func (f *farEnd) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(f.from) }

// listener accepts what is dialled to one address.
type listener struct {
	network  *network
	address  netip.AddrPort
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.accepted, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// serve starts a server; closing it cuts all its connections.
func (n *network) serve(t *testing.T, address netip.AddrPort, handler http.Handler) *http.Server {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	require.NotContains(t, n.accepted, address)
	n.accepted[address] = make(chan net.Conn)
	l := &listener{
		network:  n,
		address:  address,
		accepted: n.accepted[address],
		closed:   make(chan struct{}),
	}
	server := &http.Server{
		Handler: handler,
	}
	go func() { _ = server.Serve(l) }()
	return server
}
