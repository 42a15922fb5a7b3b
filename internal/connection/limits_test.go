package connection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/connection"
	"trefoilline.example/trefoilline/observe"
)

// serveLimited starts a server with the limits and the handler.
func serveLimited(t *testing.T, limits connection.Limits, handler http.HandlerFunc) *testServer {
	s, listener := listen(t, handler)
	s.Name = "callers"
	s.Limits = func() connection.Limits { return limits }
	go func() { s.served <- s.Serve(listener) }()
	return s
}

// requireClosed checks that the server closes the connection.
func requireClosed(t *testing.T, c net.Conn) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := io.Copy(io.Discard, c)
	timeout, isTimeout := err.(net.Error)
	require.False(t, isTimeout && timeout.Timeout(), "the connection is open")
}

// TestNewConnectionIsServedAtTheLimit guards against crowds of unfinished headers that keep all connections: 30 of them, where 10
// are allowed.
func TestNewConnectionIsServedAtTheLimit(t *testing.T) {
	s := serveLimited(t, connection.Limits{
		MaxConnections: 10,
	}, answerOK)
	for range 30 {
		_, err := io.WriteString(s.connect(), "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
	}
	caller := s.connect()
	require.Equal(t, http.StatusOK, s.ask(caller, bufio.NewReader(caller)).StatusCode)
}

// TestLimitIsReportedOnce guards against crowds that fill the log: 100 connections are closed, and one line says so.
func TestLimitIsReportedOnce(t *testing.T) {
	s := serveLimited(t, connection.Limits{
		MaxConnections: 10,
	}, answerOK)
	for range 110 {
		_, err := io.WriteString(s.connect(), "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
	}
	caller := s.connect()
	s.ask(caller, bufio.NewReader(caller))
	s.StopAccepting()
	require.NoError(t, <-s.served)
	limited := func() int { return s.logs.FilterMessage(observe.ConnectionsLimited.Name).Len() }
	require.Eventually(t, func() bool { return limited() > 0 }, waitTimeout, time.Millisecond)
	require.Equal(t, 1, limited())
	require.Empty(t, s.logs.FilterMessage(observe.ConnectionClosedEarly.Name).All())
	logged := s.logs.FilterMessage(observe.ConnectionsLimited.Name).All()[0].ContextMap()
	require.Equal(t, "callers", logged["listener"])
	require.Equal(t, "127.0.0.1", logged["caller"])
	require.GreaterOrEqual(t, logged["of-caller"], int64(101))
}

// TestKeptRequestIsAnsweredAtTheLimit guards against requests that may run and lose their answers to a crowd of 30 connections,
// where 2 are allowed, and against new connections above the limit.
func TestKeptRequestIsAnsweredAtTheLimit(t *testing.T) {
	running, proceed := make(chan struct{}), make(chan struct{})
	s := serveLimited(t, connection.Limits{
		MaxConnections: 2,
	}, func(w http.ResponseWriter, r *http.Request) {
		if !connection.Keep(r) {
			return
		}
		running <- struct{}{}
		<-proceed
		w.WriteHeader(http.StatusOK)
	})
	var callers []net.Conn
	for range 2 {
		caller := s.connect()
		_, err := io.WriteString(caller, request)
		require.NoError(t, err)
		<-running
		callers = append(callers, caller)
	}
	for range 30 {
		requireClosed(t, s.connect())
	}
	close(proceed)
	for _, caller := range callers {
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// TestEvictedRequestDoesNotRun guards against requests that are sent to a server after their connection was closed for
// another: a body stops short, and its handler goes on only then.
func TestEvictedRequestDoesNotRun(t *testing.T) {
	reading, isKept := make(chan struct{}), make(chan bool, 1)
	s := serveLimited(t, connection.Limits{
		MaxConnections: 1,
	}, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		close(reading)
		_, _ = io.Copy(io.Discard, r.Body)
		isKept <- connection.Keep(r)
	})
	stalled := s.connect()
	_, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 10\r\n\r\nabc")
	require.NoError(t, err)
	<-reading
	caller := s.connect()
	require.Equal(t, http.StatusOK, s.ask(caller, bufio.NewReader(caller)).StatusCode)
	require.False(t, <-isKept)
}

const maxHeaderBytes = 16 << 10

// TestLongHeaderIsRejected guards against headers that take memory without a bound, on the first request of a connection and
// on later ones, and against limits that reject a header which is just short enough.
func TestLongHeaderIsRejected(t *testing.T) {
	s := serveLimited(t, connection.Limits{
		MaxHeaderBytes: maxHeaderBytes,
	}, answerOK)
	const start = "GET / HTTP/1.1\r\nHost: shop.example\r\nX-Filler: "
	const end = "\r\n\r\n"
	caller := s.connect()
	reader := bufio.NewReader(caller)
	for range 3 {
		_, err := io.WriteString(caller, start+strings.Repeat("a", maxHeaderBytes-len(start)-len(end))+end)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	_, err := io.WriteString(caller, start+strings.Repeat("a", 2*maxHeaderBytes))
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "431 Request Header Fields Too Large", string(rest))
}

// TestRestOfABodyIsNoHeader guards against callers that are rejected because the body of their last request was answered
// before it was read, and is longer than a header may be.
func TestRestOfABodyIsNoHeader(t *testing.T) {
	s := serveLimited(t, connection.Limits{
		MaxHeaderBytes: maxHeaderBytes,
	}, answerOK)
	caller := s.connect()
	reader := bufio.NewReader(caller)
	for range 3 {
		_, err := fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n%s", 4*maxHeaderBytes, strings.Repeat("b", 4*maxHeaderBytes))
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, http.StatusOK, s.ask(caller, reader).StatusCode)
	}
}

// TestSlowHeaderEndsItsConnection guards against connections that are kept for as long as a caller sends a byte now and then, before
// the first request or after one.
func TestSlowHeaderEndsItsConnection(t *testing.T) {
	s := serveLimited(t, connection.Limits{
		HeaderTimeout: 100 * time.Millisecond,
	}, answerOK)
	used := s.connect()
	s.ask(used, bufio.NewReader(used))
	for _, caller := range []net.Conn{s.connect(), used} {
		go func() {
			for {
				if _, err := io.WriteString(caller, "G"); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
		requireClosed(t, caller)
	}
}

// TestSlowBodyIsNoSlowHeader guards against a limit for headers that ends a request whose body is sent slowly.
func TestSlowBodyIsNoSlowHeader(t *testing.T) {
	s := serveLimited(t, connection.Limits{
		HeaderTimeout: 300 * time.Millisecond,
		IdleTimeout:   300 * time.Millisecond,
	}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	caller := s.connect()
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 15\r\n\r\n")
	require.NoError(t, err)
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(caller, "b")
		require.NoError(t, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, body, 15)
}

// TestIdleConnectionIsClosed guards against callers that keep connections which they do not use, and against limits that count the
// time of an earlier request.
func TestIdleConnectionIsClosed(t *testing.T) {
	s := serveLimited(t, connection.Limits{
		IdleTimeout: 2 * time.Second,
	}, answerOK)
	caller := s.connect()
	reader := bufio.NewReader(caller)
	for range 20 {
		require.Equal(t, http.StatusOK, s.ask(caller, reader).StatusCode)
		time.Sleep(150 * time.Millisecond)
	}
	requireClosed(t, caller)
	require.Empty(t, s.logs.All())
}
