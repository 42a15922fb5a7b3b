package transport_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"trefoilline.example/trefoilline/internal/transport"
)

// connect returns the two sides of a connection. The first one is that of a transport.
func connect(t *testing.T) (net.Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err := transport.NewDefault(1).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	far, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	return near, far.(*net.TCPConn)
}

// writeUntilError writes until a write returns the connection's error, so that no read gets it.
func writeUntilError(t *testing.T, c net.Conn) {
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(10*time.Second)))
	block := make([]byte, 64<<10)
	for {
		if _, err := c.Write(block); err != nil {
			require.NotErrorIs(t, err, unix.EAGAIN)
			return
		}
	}
}

// TestReadTellsLossFromEnd has a write get the error of a connection before the read at its end, with and
// without an orderly end of the other side.
func TestReadTellsLossFromEnd(t *testing.T) {
	const part = "a part"
	for name, c := range map[string]struct {
		end    func(t *testing.T, near net.Conn, far *net.TCPConn)
		isLost bool
	}{
		"reset": {
			end: func(t *testing.T, _ net.Conn, far *net.TCPConn) {
				require.NoError(t, far.SetLinger(0))
				require.NoError(t, far.Close())
			},
			isLost: true,
		},
		"timeout of the system": {
			end: func(t *testing.T, near net.Conn, _ *net.TCPConn) {
				raw, err := near.(*transport.Conn).Conn.(*net.TCPConn).SyscallConn()
				require.NoError(t, err)
				require.NoError(t, raw.Control(func(descriptor uintptr) {
					err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 100)
				}))
				require.NoError(t, err)
			},
			isLost: true,
		},
		"orderly end, then reset": {
			end: func(t *testing.T, near net.Conn, far *net.TCPConn) {
				require.NoError(t, far.CloseWrite())
				_, err := near.Write([]byte("unread"))
				require.NoError(t, err)
				require.NoError(t, far.Close())
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			_, err := io.WriteString(far, part)
			require.NoError(t, err)
			_, err = io.ReadFull(near, make([]byte, 1))
			require.NoError(t, err)
			c.end(t, near, far)
			writeUntilError(t, near)
			rest, err := io.ReadAll(near)
			require.Equal(t, part[1:], string(rest))
			if !c.isLost {
				require.NoError(t, err)
				return
			}
			var lost *transport.ConnectionLostError
			require.ErrorAs(t, err, &lost)
		})
	}
}

func TestOrderlyEndIsNoLoss(t *testing.T) {
	near, far := connect(t)
	_, err := io.WriteString(far, "all of it")
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	body, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(body))
	_, err = io.WriteString(near, "the other side still reads")
	require.NoError(t, err)
	_, err = near.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
