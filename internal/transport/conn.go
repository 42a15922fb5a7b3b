package transport

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, as [net.Dialer.DialContext] does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithLossDetection returns a DialFunc whose connections are of type [Conn].
func WithLossDetection(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{
			Conn: c,
		}, nil
	}
}

// Conn is a connection on which a read returns [io.EOF] only if the other side has ended its direction.
//
// The system reports the failure of a connection, such as a reset or a timeout, to one call only. If that is
// a write, the next read returns [io.EOF], and a response that ends with the connection looks complete. A read
// of a Conn returns a [ConnectionLostError] in that case.
//
// All reads of the connection must go through the Conn. On a connection that is not a TCP connection of the
// system, reads return what the connection returns.
type Conn struct {
	net.Conn

	// received is the number of bytes that were read.
	received atomic.Uint64
}

// ConnectionLostError reports that a connection ended without an orderly end of the other side. A write may
// have returned the cause.
type ConnectionLostError struct{}

func (*ConnectionLostError) Error() string {
	return "the connection was reset or timed out"
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	received := c.received.Add(uint64(n))
	if err == io.EOF && c.isLost(received) {
		return n, &ConnectionLostError{}
	}
	return n, err
}

// SetLinger sets how Close treats bytes that were not sent, as [net.TCPConn.SetLinger] does. It does nothing
// on other connections.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, isTCP := c.Conn.(interface{ SetLinger(seconds int) error }); isTCP {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// isLost reports whether a connection at its end, from which the number of bytes was read, has ended without
// an orderly end of the other side. If the connection was closed on this side meanwhile, that is not known,
// and isLost returns true.
func (c *Conn) isLost(received uint64) bool {
	connection, isSystem := c.Conn.(syscall.Conn)
	if !isSystem {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return true
	}
	isLost := true
	// An error means that the connection is closed, and leaves isLost as it is.
	_ = raw.Control(func(descriptor uintptr) { isLost = endedWithoutFIN(int(descriptor), received) })
	return isLost
}

// stateClosed is TCP_CLOSE, the state of a socket after a reset or a timeout. After a FIN, it is TCP_CLOSE_WAIT.
const stateClosed = 7

// endedWithoutFIN reports whether the system has closed the socket although no FIN came. Linux counts the FIN
// as one received byte. If the system has no such information, it returns false.
func endedWithoutFIN(descriptor int, received uint64) bool {
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	return info.State == stateClosed && info.Bytes_received <= received
}
