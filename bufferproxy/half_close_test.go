package bufferproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallerThatEndsItsSendingGetsNoSuccess guards against status 200 without a body for a request whose
// caller closes its sending side, so that the host drops it, and reads what still comes.
func TestCallerThatEndsItsSendingGetsNoSuccess(t *testing.T) {
	for path, status := range map[string]int{
		"/orders/7": http.StatusBadGateway,
		"/stock/17": http.StatusBadGateway,
	} {
		received := make(chan struct{})
		host := newTestHost(t, func(_ http.ResponseWriter, r *http.Request) {
			// The end of the connection is noticed only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			close(received)
			<-r.Context().Done()
		})
		connection, err := net.Dial("tcp", host.entryHost.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: request-1\r\n%s: good-key\r\nContent-Length: 2\r\n\r\nok",
			path, requestIDHeader, apiKeyHeader)
		require.NoError(t, err)
		<-received
		require.NoError(t, connection.(*net.TCPConn).CloseWrite())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err)
		require.Equal(t, status, response.StatusCode, path)
		require.Empty(t, response.Header.Get(completeMarkerHeader))
		require.NoError(t, connection.Close())
	}
}

// TestCallerThatEndsItsSendingIsToldThatItDidNotRun guards against the same for a request that no server
// has got yet: its caller may send it again.
func TestCallerThatEndsItsSendingIsToldThatItDidNotRun(t *testing.T) {
	received, ended := make(chan struct{}), make(chan struct{})
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case received <- struct{}{}:
		case <-ended:
		}
		<-ended
		respondOK(w, r)
	})
	defer close(ended)
	// The server's slots and its queue are full, so that the next request waits.
	for range 4 {
		go func() { _, _ = http.DefaultTransport.RoundTrip(host.request(http.MethodGet, "/stock/17", "")) }()
		<-received
	}
	connection, err := net.Dial("tcp", host.entryHost.Listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "GET /stock/18 HTTP/1.1\r\nHost: shop.example\r\n%s: request-2\r\n%s: good-key\r\n\r\n", requestIDHeader, apiKeyHeader)
	require.NoError(t, err)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}
