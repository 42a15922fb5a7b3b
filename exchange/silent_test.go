package exchange_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
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
	w.Header().Set(header.Request, r.Header.Get(header.Request))
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
	answered, isAnswered := client.Send(ctx, address, request).(*exchange.Answered)
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
	require.Equal(t, "1m30s", server.Record().Entries[0].Header.Get(header.Deadline))

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

func TestSilenceBeforeAndInTheAnswerEnds(t *testing.T) {
	for _, silent := range []http.HandlerFunc{
		func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		client := newClient(t)
		client.AnswerTimeout = 50 * time.Millisecond
		client.StallTimeout = 10 * time.Millisecond
		require.False(t, get(t.Context(), client, start(t, silent), true))
	}
}
