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

// keptConnections is how many connections are open when they go silent.
const keptConnections = 4

// silencer answers a request, by which a client learns that it echoes names,
// then the next ones together, so that each has a connection
// of its own, and then nothing more on these.
type silencer struct {
	together sync.WaitGroup
	mu       sync.Mutex
	isKnown  bool
	silent   map[string]bool
	// swallowed is called when a request is never going to be answered.
	swallowed func()
}

func newSilencer() *silencer {
	s := &silencer{
		silent: make(map[string]bool),
	}
	s.together.Add(keptConnections)
	return s
}

func (s *silencer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	s.mu.Lock()
	isFirst := s.isKnown && len(s.silent) < keptConnections
	s.isKnown = true
	isSilent := s.silent[r.RemoteAddr]
	if isFirst {
		s.silent[r.RemoteAddr] = true
	}
	swallowed := s.swallowed
	s.mu.Unlock()
	if isFirst {
		s.together.Done()
		s.together.Wait()
		return
	}
	if isSilent {
		swallowed()
		<-r.Context().Done()
	}
}

// expiring is a context whose end is a deadline's.
type expiring struct {
	context.Context
}

func (e expiring) Err() error {
	if e.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// lostToSilence opens connections, has them silenced, and counts the requests
// that are swallowed until one is answered.
func lostToSilence(t *testing.T, send func(ctx context.Context, address netip.AddrPort) bool) int {
	server := newSilencer()
	address := start(t, server)
	require.True(t, send(t.Context(), address))
	var opening sync.WaitGroup
	for range keptConnections {
		opening.Go(func() { send(t.Context(), address) })
	}
	opening.Wait()
	for lost := 0; ; lost++ {
		ctx, cancel := context.WithCancel(t.Context())
		server.mu.Lock()
		server.swallowed = cancel
		server.mu.Unlock()
		isAnswered := send(expiring{ctx}, address)
		cancel()
		if isAnswered {
			return lost
		}
	}
}

func TestSilentConnectionsAreDroppedTogether(t *testing.T) {
	plain := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: keptConnections,
		},
	}
	naive := lostToSilence(t, func(ctx context.Context, address netip.AddrPort) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/", nil)
		require.NoError(t, err)
		response, err := plain.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return err == nil
	})
	client := newClient(t)
	gated := lostToSilence(t, func(ctx context.Context, address netip.AddrPort) bool {
		return get(ctx, client, address, true)
	})
	once := lostToSilence(t, func(ctx context.Context, address netip.AddrPort) bool {
		return get(ctx, client, address, false)
	})
	t.Logf("requests lost to %d silent connections: plain %d, idempotent %d, once %d", keptConnections, naive, gated, once)
	require.Equal(t, keptConnections, naive)
	require.Equal(t, 1, gated)
	require.Zero(t, once)
}

func get(ctx context.Context, client *exchange.Client, address netip.AddrPort, idempotent bool) bool {
	request := newRequest("r1", http.MethodGet, "/", nil)
	request.Idempotent = idempotent
	answered, isAnswered := client.Send(ctx, address, request).(*exchange.Response)
	if !isAnswered {
		return false
	}
	defer answered.Close()
	_, err := io.ReadAll(answered)
	return err == nil
}

func TestDeadlineAndCancellationArePassedOn(t *testing.T) {
	server := &backend.Server{}
	address := start(t, server)
	now := time.Now()
	client := newClient(t)
	client.Clock = func() time.Time { return now }
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(90*time.Second))
	defer cancel()
	require.True(t, get(ctx, client, address, false))
	require.Equal(t, "1m30s", server.RequestLog().Entries[0].Header.Get(header.Timeout))

	arrived, cancelled := make(chan struct{}), make(chan struct{})
	waiting := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
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

// TestSilentConnectionIsGivenUpForANewOne has a server that answers only the
// first request of each connection.
func TestSilentConnectionIsGivenUpForANewOne(t *testing.T) {
	var seen sync.Map
	server := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isSilent := seen.LoadOrStore(r.RemoteAddr, true); isSilent {
			<-r.Context().Done()
		}
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	}))
	client := newClient(t)
	client.ResponseTimeout = 10 * time.Millisecond
	for range 2 {
		require.True(t, get(t.Context(), client, server, true), "the connection is new")
	}
	request := newRequest("r1", http.MethodGet, "/", nil)
	request.Idempotent = true
	outcome := client.Send(t.Context(), server, request)
	require.Equal(t, exchange.ResponseTimedOut, outcome.(*exchange.Unknown).Reason)
	answered, isAnswered := client.Send(t.Context(), server, request).(*exchange.Response)
	require.True(t, isAnswered)
	answered.Close()
}

func TestSilenceInTheAnswerEnds(t *testing.T) {
	client := newClient(t)
	client.StallTimeout = 10 * time.Millisecond
	server := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	require.False(t, get(t.Context(), client, server, true))
}

// warmUp starts servers in memory that echo names and answer POST as given, and
// a client that has a kept connection to each.
func warmUp(t *testing.T, answer http.HandlerFunc, servers ...netip.AddrPort) (*exchange.Client, func()) {
	hosts := &network.Network{}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			if r.Method == http.MethodPost {
				answer(w, r)
			}
		}),
	}
	client := &exchange.Client{
		IdleTimeout: 24 * time.Hour,
		Dial:        hosts.Dial,
	}
	for _, address := range servers {
		listener, err := hosts.Listen(address)
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

// TestSlowServerIsNoSilentConnection has servers that take longer to answer than
// a kept connection is waited for: the next try gets all the time there is.
func TestSlowServerIsNoSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second := netip.MustParseAddrPort("192.0.2.2:80")
		client, stop := warmUp(t, func(http.ResponseWriter, *http.Request) {
			time.Sleep(2 * exchange.DefaultResponseTimeout)
		}, anyServer, second)
		defer stop()
		request := newRequest("r1", http.MethodPost, "/", nil)
		request.Idempotent = true
		outcome := client.Send(t.Context(), anyServer, request)
		require.Equal(t, exchange.ResponseTimedOut, outcome.(*exchange.Unknown).Reason)
		for _, r := range []*exchange.Request{request, newRequest("once", http.MethodPost, "/", nil)} {
			answered, isAnswered := client.Send(t.Context(), second, r).(*exchange.Response)
			require.True(t, isAnswered)
			answered.Close()
		}
	})
}

// slowUpload has a caller that sends its body within an hour, on a connection
// that was used before, and waits an hour more before it reads the answer. All
// in virtual time.
func slowUpload(t *testing.T, answer http.HandlerFunc) {
	client, stop := warmUp(t, answer, anyServer)
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
	outcome := client.Send(t.Context(), anyServer, request)
	answered, isAnswered := outcome.(*exchange.Response)
	require.True(t, isAnswered, "%+v", outcome)
	time.Sleep(time.Hour)
	body, err := io.ReadAll(answered)
	require.NoError(t, err)
	require.Equal(t, "fullfull", string(body))
	answered.Close()
}

func TestSlowCallerIsNoSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowUpload(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "fullfull")
		})
	})
}

// TestEarlyAnswerIsNotCutByItsUpload has a server that begins its answer before
// it reads the body, and takes long to end it.
func TestEarlyAnswerIsNotCutByItsUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowUpload(t, func(w http.ResponseWriter, r *http.Request) {
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
