package connection_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/observe"
)

// listen opens a listener on a loopback address, whose log is returned.
func listen(t *testing.T) (*connection.Listener, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return &connection.Listener{
		TCPListener: listener,
		Log: observe.Log{
			Logger: zap.New(core),
		},
	}, logs
}

// connect opens a connection to the listener, and returns both of its ends.
func connect(t *testing.T, listener *connection.Listener) (caller *net.TCPConn, accepted net.Conn) {
	caller, err := net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	require.NoError(t, err)
	t.Cleanup(func() { caller.Close() })
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return caller, accepted
}

// TestCloseWithoutAnswerIsLogged guards against requests that are dropped without a trace in the log.
func TestCloseWithoutAnswerIsLogged(t *testing.T) {
	listener, logs := listen(t)
	caller, accepted := connect(t, listener)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	_, err = io.ReadFull(accepted, make([]byte, 5))
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	logged := logs.FilterMessage(observe.ConnectionClosedEarly.Name).All()
	require.Len(t, logged, 1)
	require.Equal(t, int64(5), logged[0].ContextMap()["unanswered"])
	require.Equal(t, true, logged[0].ContextMap()["unread"])
}

// TestAnsweredConnectionIsNotLogged guards against log lines for connections on which nothing was lost.
func TestAnsweredConnectionIsNotLogged(t *testing.T) {
	listener, logs := listen(t)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	response, err := http.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	ctx := t.Context()
	require.NoError(t, server.Shutdown(ctx))
	require.ErrorIs(t, <-served, http.ErrServerClosed)
	require.Empty(t, logs.All())
}
