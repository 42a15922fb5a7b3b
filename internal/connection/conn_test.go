package connection_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/connection"
)

// TestRequestThatArrivedBeforeItsConnectionEndsIsRead guards against requests that a busy host has not read yet when it closes
// unused connections, and that it would leave unread.
func TestRequestThatArrivedBeforeItsConnectionEndsIsRead(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	require.NoError(t, err)
	defer tcp.Close()
	s := &connection.Server{}
	l := s.Listen(tcp)
	caller, err := net.DialTCP("tcp", nil, tcp.Addr().(*net.TCPAddr))
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	_, err = io.WriteString(caller, "GET")
	require.NoError(t, err)
	s.StopAccepting()
	time.Sleep(2 * connection.FirstRequestTime)
	n, err := accepted.Read(make([]byte, 8))
	require.NoError(t, err)
	require.Equal(t, 3, n)
}
