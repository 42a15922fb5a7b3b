package connection_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/observe"
)

// waitTimeout limits each wait of a test, which ends as soon as its condition holds.
const waitTimeout = 20 * time.Second

// testServer is a server on a loopback address.
type testServer struct {
	*connection.Server
	t       *testing.T
	address *net.TCPAddr
	served  chan error
	logs    *observer.ObservedLogs
}

// serve starts a server with the handler.
func serve(t *testing.T, handler http.HandlerFunc) *testServer {
	s, listener := listen(t, handler)
	go func() { s.served <- s.Serve(listener) }()
	return s
}

// listen returns a server with the handler that does not serve its listener yet.
func listen(t *testing.T, handler http.HandlerFunc) (*testServer, *net.TCPListener) {
	core, logs := observer.New(zap.InfoLevel)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	require.NoError(t, err)
	s := &testServer{
		Server: &connection.Server{
			HTTP: &http.Server{
				Handler: handler,
			},
			Log: observe.Log{
				Logger: zap.New(core),
			},
		},
		t:       t,
		address: listener.Addr().(*net.TCPAddr),
		served:  make(chan error, 1),
		logs:    logs,
	}
	t.Cleanup(func() { s.Close() })
	return s, listener
}

// connect opens a connection to the server.
func (s *testServer) connect() *net.TCPConn {
	connection, err := net.DialTCP("tcp", nil, s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { connection.Close() })
	return connection
}

const request = "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"

// ask sends a request and returns the answer, whose body is read.
func (s *testServer) ask(connection net.Conn, reader *bufio.Reader) *http.Response {
	_, err := io.WriteString(connection, request)
	require.NoError(s.t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(s.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(s.t, err)
	return response
}

// stop stops the server, and returns how many connections are still open after the timeout.
func (s *testServer) stop(timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	s.StopAccepting()
	return s.Wait(ctx)
}

func answerOK(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// TestUnusedConnectionsEndAtAStop guards against stops that last as long as callers keep connections open, and against log
// lines for connections on which nothing was lost.
func TestUnusedConnectionsEndAtAStop(t *testing.T) {
	s := serve(t, answerOK)
	kept := s.connect()
	reader := bufio.NewReader(kept)
	s.ask(kept, reader)
	unused := s.connect()
	require.Zero(t, s.stop(waitTimeout))
	require.NoError(t, <-s.served)
	for _, connection := range []io.Reader{reader, unused} {
		_, err := connection.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	require.Empty(t, s.logs.All())
}

// TestRequestAfterTheListenerClosedIsAnswered guards against requests on open connections that arrive while a server stops and
// are read and dropped.
func TestRequestAfterTheListenerClosedIsAnswered(t *testing.T) {
	s := serve(t, answerOK)
	first := s.connect()
	s.ask(first, bufio.NewReader(first))
	unused := s.connect()
	// Connections are accepted in order, so that the one before the last is accepted when the last is answered.
	last := s.connect()
	s.ask(last, bufio.NewReader(last))
	s.StopAccepting()
	require.NoError(t, <-s.served)
	response := s.ask(unused, bufio.NewReader(unused))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}

// TestConnectionsInTheQueueAreAnsweredAtAStop guards against connections that are open for their callers, but are reset when a server
// stops, because it has not accepted them yet.
func TestConnectionsInTheQueueAreAnsweredAtAStop(t *testing.T) {
	s, listener := listen(t, answerOK)
	var callers []*net.TCPConn
	for range 20 {
		caller := s.connect()
		_, err := io.WriteString(caller, request)
		require.NoError(t, err)
		callers = append(callers, caller)
	}
	s.StopAccepting()
	require.NoError(t, s.Serve(listener))
	for _, caller := range callers {
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// TestAnswerThatBeganBeforeAStopEndsItsConnection guards against connections that stay open because their last answer
// does not say that it is the last.
func TestAnswerThatBeganBeforeAStopEndsItsConnection(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		close(started)
		<-proceed
	})
	caller := s.connect()
	_, err := io.WriteString(caller, request)
	require.NoError(t, err)
	<-started
	s.StopAccepting()
	close(proceed)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Zero(t, s.stop(waitTimeout))
}

// TestCloseWithoutAnswerIsLogged guards against requests that are dropped without a trace in the log.
func TestCloseWithoutAnswerIsLogged(t *testing.T) {
	s := serve(t, answerOK)
	// A stop before the server has started to serve closes the listener with its queue.
	first := s.connect()
	s.ask(first, bufio.NewReader(first))
	caller := s.connect()
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Equal(t, 1, s.stop(time.Second/2))
	require.NoError(t, s.Close())
	require.Eventually(t, func() bool { return s.logs.Len() > 0 }, waitTimeout, time.Millisecond)
	logged := s.logs.FilterMessage(observe.ConnectionClosedEarly.Name).All()
	require.Len(t, logged, 1)
	require.Equal(t, int64(16), logged[0].ContextMap()["unanswered"])
}

// longAnswer is longer than what a caller's receive buffer and the server's send buffer hold.
var longAnswer = make([]byte, 16<<20)

// answerLong answers with longAnswer as the last answer of the connection.
func answerLong(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	_, _ = w.Write(longAnswer)
}

// TestLastAnswerArrivesWhateverIsSentBehindIt guards against answers that break off because the server closes the
// connection while the caller's bytes arrive: a request behind the last one, or the rest of a body that was refused.
func TestLastAnswerArrivesWhateverIsSentBehindIt(t *testing.T) {
	for name, c := range map[string]struct {
		first  string
		behind string
	}{
		"a request": {
			first:  request,
			behind: request,
		},
		"a body": {
			first:  "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1000000\r\n\r\n",
			behind: strings.Repeat("b", 900_000),
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, answerLong)
			caller := s.connect()
			_, err := io.WriteString(caller, c.first)
			require.NoError(t, err)
			reader := bufio.NewReader(caller)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			// Much of the rest is on its way when the server closes the connection.
			_, err = io.CopyN(io.Discard, response.Body, int64(len(longAnswer)/2))
			require.NoError(t, err)
			_, err = io.WriteString(caller, c.behind)
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.EqualValues(t, len(longAnswer)/2, n)
			require.NoError(t, caller.Close())
			require.Zero(t, s.stop(waitTimeout))
			require.Empty(t, s.logs.All())
		})
	}
}

// TestCallerThatNeverReadsDoesNotHoldUpTheStop guards against stops that last as long as a caller likes.
func TestCallerThatNeverReadsDoesNotHoldUpTheStop(t *testing.T) {
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(longAnswer[:64<<10])
	})
	caller := s.connect()
	_, err := io.WriteString(caller, request)
	require.NoError(t, err)
	_, err = caller.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, 1, s.stop(time.Second/2))
	require.NoError(t, s.Close())
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.Zero(t, s.Wait(ctx))
}

// TestCallerThatSendsWithoutEndIsCutOff guards against callers that keep a host busy with bytes that it discards.
func TestCallerThatSendsWithoutEndIsCutOff(t *testing.T) {
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	caller := s.connect()
	_, err := io.WriteString(caller, request)
	require.NoError(t, err)
	_, err = io.CopyN(caller, neverEnding{}, 256<<20)
	require.Error(t, err)
}

// neverEnding is a reader without an end.
type neverEnding struct{}

func (neverEnding) Read(b []byte) (int, error) { return len(b), nil }

// TestAnswerArrivesWhenAStopClosesItsIdleConnection guards against answers that break off because their connection
// is closed as idle while they are on their way.
func TestAnswerArrivesWhenAStopClosesItsIdleConnection(t *testing.T) {
	answer := longAnswer[:64<<10]
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	caller := s.connect()
	require.NoError(t, caller.SetReadBuffer(2<<10))
	_, err := io.WriteString(caller, request)
	require.NoError(t, err)
	reader := bufio.NewReader(caller)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	s.stop(time.Second / 2)
	_, err = io.WriteString(caller, request)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, len(answer), n)
}

// TestSlowReaderOfAnIdleConnectionGetsItsAnswer guards against answers that break off because a wait for their delivery ends
// when the server closes unused connections, a moment after the stop began. The caller reads on only after that moment.
func TestSlowReaderOfAnIdleConnectionGetsItsAnswer(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing behind":   "",
		"a request behind": request,
	} {
		t.Run(name, func(t *testing.T) {
			answer := longAnswer[:256<<10]
			s := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
			caller := s.connect()
			_, err := io.WriteString(caller, request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			require.NoError(t, err)
			require.Equal(t, 1, s.stop(time.Second))
			_, err = io.WriteString(caller, behind)
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.EqualValues(t, len(answer), n)
			// The caller keeps the connection open.
			ctx, cancel := context.WithTimeout(t.Context(), deliveryTimeout/2)
			defer cancel()
			require.Zero(t, s.Wait(ctx))
			require.Empty(t, s.logs.All())
		})
	}
}

// deliveryTimeout is how long a server waits for a caller that does not close its connection.
const deliveryTimeout = 10 * time.Second

// TestAnswerThatTheCallerHasNotReadSurvivesItsNextRequest guards against answers that the caller's system has received when
// an idle connection is closed, and that a reset drops before the caller has read them.
func TestAnswerThatTheCallerHasNotReadSurvivesItsNextRequest(t *testing.T) {
	answer := longAnswer[:32<<10]
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	caller := s.connect()
	_, err := io.WriteString(caller, request)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Zero(t, s.stop(deliveryTimeout/2))
	_, err = io.WriteString(caller, request)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, len(answer), n)
}
