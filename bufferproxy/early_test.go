package bufferproxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/routing"
)

// longBodyBytes is more than the operating system buffers for a connection that is not read.
const longBodyBytes = 16 << 20

// earlyServer responds to each request before it reads the body, and keeps the connection
// open. Once it is released, it reads the rest of each connection.
type earlyServer struct {
	release chan struct{}
	// received gets all bytes of each connection, once it has ended.
	received chan string
}

func (s *earlyServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.handle(conn)
	}
}

func (s *earlyServer) handle(conn net.Conn) {
	defer conn.Close()
	var received strings.Builder
	reader := bufio.NewReader(io.TeeReader(conn, &received))
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+requestIDHeader+": "+request.Header.Get(requestIDHeader)+"\r\n"+
		completeMarkerHeader+": proof\r\nContent-Length: 5\r\n\r\nearly")
	<-s.release
	_, _ = io.Copy(io.Discard, reader)
	s.received <- received.String()
}

// TestEarlyResponseDoesNotMixRequestsOnConnection has a server respond to two requests with
// long bodies before it reads them. If the client reused a connection on which a request's
// body has not been sent completely, the server would read the next request as part of that
// body. So each connection must carry nothing but one request.
func TestEarlyResponseDoesNotMixRequestsOnConnection(t *testing.T) {
	host := newTestHost(t, respondOK)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &earlyServer{
		release:  make(chan struct{}),
		received: make(chan string, 2),
	}
	go server.serve(listener)
	t.Cleanup(func() { _ = listener.Close() })
	host.servers[0].Address = netip.MustParseAddrPort(listener.Addr().String())
	host.start()
	withLongBodies := configuration()
	withLongBodies.Version++
	withLongBodies.Limits.MaxBodyBytes = 2 * longBodyBytes
	host.handler.SetConfiguration(routing.NewIndex(withLongBodies))
	host.handler.Client.ServersEchoID = true
	host.handler.Client.ReuseForNonIdempotent = true
	body := strings.Repeat("x", longBodyBytes)
	for range 2 {
		response, text := host.send(host.request(http.MethodPost, "/orders/17", body))
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "early", text)
	}
	host.handler.Client.Close()
	close(server.release)
	for range 2 {
		_, rest, found := strings.Cut(<-server.received, "\r\n\r\n")
		require.True(t, found)
		require.Empty(t, strings.Trim(rest, "x"), "bytes other than the request's body on the connection")
	}
}
