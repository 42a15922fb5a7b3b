/*
Package network stands in for TCP between hosts: servers listen on addresses and
clients dial them, all in memory, so that a fleet runs inside testing/synctest.

# Usage

	hosts := &network.Network{}
	listener, err := hosts.Listen(netip.MustParseAddrPort("10.0.0.1:80"))
	go server.Serve(listener)
	client := &exchange.Client{
		Dial: hosts.Dial,
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

// clientAddress is the address that connections come from; their ports differ.
var clientAddress = netip.AddrFrom4([4]byte{10, 255, 255, 255})

// RefusedError reports that nobody listens on the address.
type NoListenerError struct {
	Address string
}

func (e *NoListenerError) Error() string { return fmt.Sprintf("connection to %s refused", e.Address) }

// TakenError reports that somebody listens on the address already.
type AddressInUseError struct {
	Address netip.AddrPort
}

func (e *AddressInUseError) Error() string { return fmt.Sprintf("address %s is taken", e.Address) }

// Network connects listeners and clients. Its zero value has none and is ready.
type Network struct {
	mu        sync.Mutex
	port      uint16
	listeners map[netip.AddrPort]*listener
}

// Listen returns a listener on the address, or a [AddressInUseError].
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
		network:  n,
		address:  address,
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the address, as [net.Dialer.DialContext] does, or returns a
// [NoListenerError].
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, port := n.find(address)
	if l == nil {
		return nil, &NoListenerError{
			Address: address,
		}
	}
	near, far := net.Pipe()
	accepted := &accepted{
		Conn: far,
		from: netip.AddrPortFrom(clientAddress, port),
	}
	select {
	case l.accepted <- accepted:
		return near, nil
	case <-l.closed:
		return nil, &NoListenerError{
			Address: address,
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// find returns the listener on the address, if any, and a port to dial from.
func (n *Network) find(address string) (*listener, uint16) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.port++
	return n.listeners[parsed], n.port
}

// listener accepts what is dialled to one address.
type listener struct {
	network  *Network
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
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// accepted is the server's end of a connection, which tells where it is from.
type accepted struct {
	net.Conn
	from netip.AddrPort
}

func (a *accepted) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(a.from) }
