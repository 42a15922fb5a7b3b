package intake_test

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

// longBody is more than the machine keeps of a connection that is not read.
const longBody = 16 << 20

// earlyServer answers each request before it reads the body, keeps the connection and
// reads on once it is released. It tells what each connection carried.
type earlyServer struct {
	release chan struct{}
	carried chan string
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
	var carried strings.Builder
	reader := bufio.NewReader(io.TeeReader(conn, &carried))
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+nameHeader+": "+request.Header.Get(nameHeader)+"\r\n"+
		proofHeader+": proof\r\nContent-Length: 5\r\n\r\nearly")
	<-s.release
	_, _ = io.Copy(io.Discard, reader)
	s.carried <- carried.String()
}

// TestAnEarlyAnswerLeavesNoOtherBytesWhereTheBodyIsDue has a server answer two orders
// with long bodies before it reads them: on no connection does anything but the rest
// of the body come after the first request's head.
func TestAnEarlyAnswerLeavesNoOtherBytesWhereTheBodyIsDue(t *testing.T) {
	w := newWorld(t, sound)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &earlyServer{
		release: make(chan struct{}),
		carried: make(chan string, 2),
	}
	go server.serve(listener)
	t.Cleanup(func() { _ = listener.Close() })
	w.servers[0].Address = netip.MustParseAddrPort(listener.Addr().String())
	w.start()
	generous := configuration()
	generous.Version++
	generous.Limits.MaxBodyBytes = 2 * longBody
	w.handler.SetConfiguration(routing.NewIndex(generous))
	w.handler.Client.ServersEchoID = true
	w.handler.Client.ReuseForNonIdempotent = true
	body := strings.Repeat("x", longBody)
	for range 2 {
		response, answer := w.send(w.request(http.MethodPost, "/orders/17", body))
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "early", answer)
	}
	w.handler.Client.Close()
	close(server.release)
	for range 2 {
		_, rest, found := strings.Cut(<-server.carried, "\r\n\r\n")
		require.True(t, found)
		require.Empty(t, strings.Trim(rest, "x"), "other bytes came where the body was due")
	}
}
