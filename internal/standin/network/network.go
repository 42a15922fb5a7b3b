/*
Package network is an in-memory TCP network for tests: servers listen on addresses, and
clients dial them. It has no real sockets, so that several entry hosts can run in one test
within testing/synctest.

# Usage

	testNetwork := &network.Network{}
	listener, err := testNetwork.Listen(netip.MustParseAddrPort("10.0.0.1:80"))
	go server.Serve(listener)
	client := &exchange.Client{
		Dial: testNetwork.Dial,
	}
*/
package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// dialerAddress is the address that all connections come from. Each connection has its own
// port.
var dialerAddress = netip.AddrFrom4([4]byte{10, 255, 255, 255})

// NoListenerError reports that there is no listener on the address, or that it is not a
// valid address.
type NoListenerError struct {
	Address string
}

func (e *NoListenerError) Error() string { return fmt.Sprintf("no listener on %s", e.Address) }

// AddressInUseError reports that there is already a listener on the address.
type AddressInUseError struct {
	Address netip.AddrPort
}

func (e *AddressInUseError) Error() string { return fmt.Sprintf("address %s in use", e.Address) }

// Network connects clients to listeners. The zero value is an empty network, ready for use.
type Network struct {
	mu             sync.Mutex
	lastDialerPort uint16
	listeners      map[netip.AddrPort]*listener
}

// Listen returns a listener on the address. It returns an [AddressInUseError] if there is
// one already.
func (n *Network) Listen(address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &AddressInUseError{
			Address: address,
		}
	}
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*listener)
	}
	l := &listener{
		network:     n,
		address:     address,
		connections: make(chan net.Conn),
		closed:      make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the address, like [net.Dialer.DialContext]. It ignores the name of the
// network. It returns a [NoListenerError] if there is no listener, and the error of the context
// if that ends before the listener accepts the connection.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, port := n.findListenerAndPort(address)
	if l == nil {
		return nil, &NoListenerError{
			Address: address,
		}
	}
	clientEnd, serverEnd := net.Pipe()
	conn := &acceptedConn{
		Conn:          serverEnd,
		remoteAddress: netip.AddrPortFrom(dialerAddress, port),
	}
	select {
	case l.connections <- conn:
		return clientEnd, nil
	case <-l.closed:
		return nil, &NoListenerError{
			Address: address,
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// findListenerAndPort returns the listener on the address, or nil if there is none, and
// a new port for the client's end of the connection. The address may be invalid.
func (n *Network) findListenerAndPort(address string) (*listener, uint16) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastDialerPort++
	return n.listeners[parsed], n.lastDialerPort
}

// listener accepts the connections to one address.
type listener struct {
	network     *Network
	address     netip.AddrPort
	connections chan net.Conn
	once        sync.Once
	closed      chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.connections:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// acceptedConn is the server's end of a connection. It knows the client's address, which
// [net.Pipe] does not provide.
type acceptedConn struct {
	net.Conn
	remoteAddress netip.AddrPort
}

func (a *acceptedConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(a.remoteAddress) }
