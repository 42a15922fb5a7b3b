package exchange_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/internal/standin/network"
)

// unresponsiveConnections is the number of open connections that become
// unresponsive together.
const unresponsiveConnections = 4

// unresponsiveServer has connections that become unresponsive together:
//
//  1. It responds to one request, so that the client learns that the server echoes
//     request IDs.
//  2. It holds the next unresponsiveConnections requests until all have arrived,
//     so that each is on its own connection, and then responds to them.
//  3. It never responds to later requests on those connections. It does respond
//     to requests on new connections.
type unresponsiveServer struct {
	barrier       sync.WaitGroup
	mu            sync.Mutex
	respondedOnce bool
	unresponsive  map[string]bool
	// onNoResponse is called when the server gets a request to which it will
	// not respond.
	onNoResponse func()
}

func newUnresponsiveServer() *unresponsiveServer {
	s := &unresponsiveServer{
		unresponsive: make(map[string]bool),
	}
	s.barrier.Add(unresponsiveConnections)
	return s
}

func (s *unresponsiveServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	s.mu.Lock()
	isConcurrent := s.respondedOnce && len(s.unresponsive) < unresponsiveConnections
	s.respondedOnce = true
	isUnresponsive := s.unresponsive[r.RemoteAddr]
	if isConcurrent {
		s.unresponsive[r.RemoteAddr] = true
	}
	onNoResponse := s.onNoResponse
	s.mu.Unlock()
	if isConcurrent {
		s.barrier.Done()
		s.barrier.Wait()
		return
	}
	if isUnresponsive {
		onNoResponse()
		<-r.Context().Done()
	}
}

// deadlineContext reports its cancellation as an exceeded deadline. With it a test
// ends a request as if the deadline had passed, without waiting for one.
type deadlineContext struct {
	context.Context
}

func (c deadlineContext) Err() error {
	if c.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// countWithoutResponse opens connections that become unresponsive, and returns how
// many requests get no response before one does.
func countWithoutResponse(t *testing.T, send func(ctx context.Context, address netip.AddrPort) bool) int {
	server := newUnresponsiveServer()
	address := startServer(t, server)
	require.True(t, send(t.Context(), address))
	var opening sync.WaitGroup
	for range unresponsiveConnections {
		opening.Go(func() { send(t.Context(), address) })
	}
	opening.Wait()
	for withoutResponse := 0; ; withoutResponse++ {
		ctx, cancel := context.WithCancel(t.Context())
		server.mu.Lock()
		server.onNoResponse = cancel
		server.mu.Unlock()
		hasResponse := send(deadlineContext{ctx}, address)
		cancel()
		if hasResponse {
			return withoutResponse
		}
	}
}

// TestUnresponsiveConnectionsAreClosedTogether guards against losing one request
// on each open connection when all connections to a server become unresponsive at
// once. With exchange.Client at most the first one is lost.
func TestUnresponsiveConnectionsAreClosedTogether(t *testing.T) {
	plainClient := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: unresponsiveConnections,
		},
	}
	plain := countWithoutResponse(t, func(ctx context.Context, address netip.AddrPort) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/", nil)
		require.NoError(t, err)
		response, err := plainClient.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return err == nil
	})
	client := newClient(t)
	idempotent := countWithoutResponse(t, func(ctx context.Context, address netip.AddrPort) bool {
		return get(ctx, client, address, true)
	})
	nonIdempotent := countWithoutResponse(t, func(ctx context.Context, address netip.AddrPort) bool {
		return get(ctx, client, address, false)
	})
	t.Logf("requests without a response on %d unresponsive connections: http.Client %d, idempotent %d, non-idempotent %d", unresponsiveConnections, plain, idempotent, nonIdempotent)
	require.Equal(t, unresponsiveConnections, plain)
	require.Equal(t, 1, idempotent)
	require.Zero(t, nonIdempotent)
}

// get sends a request and reports whether it got a complete response.
func get(ctx context.Context, client *exchange.Client, address netip.AddrPort, idempotent bool) bool {
	request := newRequest("r1", http.MethodGet, "/", nil)
	request.Idempotent = idempotent
	response, hasResponse := client.Send(ctx, address, request).(*exchange.Response)
	if !hasResponse {
		return false
	}
	defer response.Close()
	_, err := io.ReadAll(response)
	return err == nil
}

func TestDeadlineAndCancellationAreForwarded(t *testing.T) {
	server := &backend.Server{}
	address := startServer(t, server)
	now := time.Now()
	client := newClient(t)
	client.Clock = func() time.Time { return now }
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(90*time.Second))
	defer cancel()
	require.True(t, get(ctx, client, address, false))
	require.Equal(t, "1m30s", server.RequestLog().Entries[0].Header.Get(header.Timeout))

	arrived, cancelled := make(chan struct{}), make(chan struct{})
	waiting := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, cancel = context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	outcome := client.Send(ctx, waiting, newRequest("r1", http.MethodPost, "/", nil))
	require.Equal(t, exchange.Cancelled, outcome.(*exchange.Unknown).Reason)
	<-cancelled
}

// TestNewConnectionAfterResponseTimeout has a server that responds only to the first
// request on each connection. After a timeout on a reused connection, the next
// attempt must use a new one.
func TestNewConnectionAfterResponseTimeout(t *testing.T) {
	var seen sync.Map
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isUnresponsive := seen.LoadOrStore(r.RemoteAddr, true); isUnresponsive {
			<-r.Context().Done()
		}
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	}))
	client := newClient(t)
	client.ResponseTimeout = 10 * time.Millisecond
	for range 2 {
		require.True(t, get(t.Context(), client, server, true), "no response on a new connection")
	}
	request := newRequest("r1", http.MethodGet, "/", nil)
	request.Idempotent = true
	outcome := client.Send(t.Context(), server, request)
	require.Equal(t, exchange.ResponseTimedOut, outcome.(*exchange.Unknown).Reason)
	response, hasResponse := client.Send(t.Context(), server, request).(*exchange.Response)
	require.True(t, hasResponse)
	response.Close()
}

func TestStallTimeoutEndsResponse(t *testing.T) {
	client := newClient(t)
	client.StallTimeout = 10 * time.Millisecond
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	require.False(t, get(t.Context(), client, server, true))
}

// startInMemory starts servers on an in-memory network. They echo request IDs, and
// handlePost responds to POST requests. It returns a client that has an idle connection to
// each server, and a function that stops all of them.
func startInMemory(t *testing.T, handlePost http.HandlerFunc, servers ...netip.AddrPort) (*exchange.Client, func()) {
	inMemory := &network.Network{}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			if r.Method == http.MethodPost {
				handlePost(w, r)
			}
		}),
	}
	client := &exchange.Client{
		IdleTimeout: 24 * time.Hour,
		Dial:        inMemory.Dial,
	}
	for _, address := range servers {
		listener, err := inMemory.Listen(address)
		require.NoError(t, err)
		go func() { _ = server.Serve(listener) }()
		for range 2 {
			require.True(t, get(t.Context(), client, address, true))
		}
	}
	return client, func() {
		client.Close()
		require.NoError(t, server.Close())
	}
}

// TestResponseTimeoutDoesNotApplyToNewConnections has servers that take longer to
// respond than the response timeout of reused connections. The attempt after the
// timeout, and a non-idempotent request, use new connections, where it does not
// apply. They go to a second server, to which idle connections are still open: the
// timeout has closed those to the first.
func TestResponseTimeoutDoesNotApplyToNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		secondServer := netip.MustParseAddrPort("192.0.2.2:80")
		client, stop := startInMemory(t, func(http.ResponseWriter, *http.Request) {
			time.Sleep(2 * exchange.DefaultResponseTimeout)
		}, testServer, secondServer)
		defer stop()
		request := newRequest("r1", http.MethodPost, "/", nil)
		request.Idempotent = true
		outcome := client.Send(t.Context(), testServer, request)
		require.Equal(t, exchange.ResponseTimedOut, outcome.(*exchange.Unknown).Reason)
		for _, r := range []*exchange.Request{request, newRequest("once", http.MethodPost, "/", nil)} {
			response, hasResponse := client.Send(t.Context(), secondServer, r).(*exchange.Response)
			require.True(t, hasResponse)
			response.Close()
		}
	})
}

// uploadSlowly sends a request on a reused connection for a caller that waits an
// hour before each part of its body, and another hour before it reads the response.
// It must run in a synctest bubble, where time is virtual.
func uploadSlowly(t *testing.T, handlePost http.HandlerFunc) {
	client, stop := startInMemory(t, handlePost, testServer)
	defer stop()
	request := newRequest("r1", http.MethodPost, "/", nil)
	request.Idempotent = true
	request.Body = &exchange.Stream{
		Reader: &slowReader{
			Reader: strings.NewReader("body"),
			delay:  time.Hour,
		},
		Length: 4,
	}
	outcome := client.Send(t.Context(), testServer, request)
	response, hasResponse := outcome.(*exchange.Response)
	require.True(t, hasResponse, "%+v", outcome)
	time.Sleep(time.Hour)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "fullfull", string(body))
	response.Close()
}

func TestSlowUploadDoesNotCountAsResponseTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		uploadSlowly(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "fullfull")
		})
	})
}

// TestUploadDoesNotEndResponseThatStartedBefore has a server that starts its
// response before it reads the body, and takes long to finish it. The end of the
// upload must not restart the response timeout.
func TestUploadDoesNotEndResponseThatStartedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		uploadSlowly(t, func(w http.ResponseWriter, r *http.Request) {
			controller := http.NewResponseController(w)
			_ = controller.EnableFullDuplex()
			_, _ = io.WriteString(w, "full")
			_ = controller.Flush()
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(3 * time.Hour)
			_, _ = io.WriteString(w, "full")
		})
	})
}
