package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
)

// lingerConn counts how often a connection is set to be reset when it is closed, and how often it is closed.
type lingerConn struct {
	*net.TCPConn
	resets, closes *atomic.Int64
}

func (c lingerConn) SetLinger(seconds int) error {
	if seconds == 0 {
		c.resets.Add(1)
	}
	return c.TCPConn.SetLinger(seconds)
}

func (c lingerConn) Close() error {
	c.closes.Add(1)
	return c.TCPConn.Close()
}

// TestRequestThatIsGivenUpIsReset guards against a server that gets a request long after it was given up: the bytes that it did not have
// stayed in the system's send buffer when the connection was closed.
func TestRequestThatIsGivenUpIsReset(t *testing.T) {
	answer := make(chan struct{})
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			<-answer
		}
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	}))
	t.Cleanup(func() { close(answer) })
	var resets, closes atomic.Int64
	client := newClient(t)
	client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return lingerConn{
			TCPConn: connection.(*net.TCPConn),
			resets:  &resets,
			closes:  &closes,
		}, nil
	}

	response, isResponse := client.Send(t.Context(), server, newRequest("r1", http.MethodPost, "/", nil)).(*exchange.Response)
	require.True(t, isResponse)
	_, err := io.Copy(io.Discard, response)
	require.NoError(t, err)
	response.Close()
	client.RemoveServer(server)
	require.Eventually(t, func() bool { return closes.Load() == 1 }, time.Second, time.Millisecond)
	require.Zero(t, resets.Load(), "a whole response needs no reset")

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, isUnknown := client.Send(ctx, server, newRequest("r2", http.MethodPost, "/late", []byte("body"))).(*exchange.Unknown)
	require.True(t, isUnknown)
	require.Eventually(t, func() bool { return closes.Load() > 1 }, time.Second, time.Millisecond)
	require.Positive(t, resets.Load())
}
