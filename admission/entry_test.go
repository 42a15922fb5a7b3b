package admission_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/admission"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/ticket"
)

// entry is one process on an entry host.
type entry struct {
	world   *world
	index   int
	address netip.AddrPort
	server  *http.Server
	client  *exchange.Client
	plain   *http.Client
	sender  *retry.Sender
	desk    *admission.Deduplicator
	frozen  atomic.Pointer[chan struct{}]
}

// start runs a new process on the host.
func (w *world) start(i int) {
	e := &entry{
		world:   w,
		index:   i,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		client: &exchange.Client{
			Dial:            w.network.Dial,
			ResponseTimeout: 2 * time.Second,
			OnViolation:     func(exchange.Violation) { w.violations.Add(1) },
		},
		plain: &http.Client{
			Transport: &http.Transport{
				DialContext: w.network.Dial,
			},
			Timeout: 2 * time.Second,
		},
	}
	e.desk = &admission.Deduplicator{
		Registry: &ticket.Registry{
			Host:        e.address,
			OnViolation: func(ticket.Violation) { w.violations.Add(1) },
		},
		IdempotencyKeys: &ticket.IdempotencyKeys{
			Store: w.store,
		},
		Send:        e.client.Send,
		IsEntryHost: isHost,
	}
	e.sender = &retry.Sender{
		Send: e.send,
	}
	e.server = w.serve(e.address, e)
	w.mu.Lock()
	w.entries[i] = e
	w.mu.Unlock()
}

// isHost tells the addresses of entry hosts from those of backend servers.
func isHost(address netip.AddrPort) bool { return address.Addr().As4()[1] == 0 }

// kill ends the process; its memory is gone.
func (e *entry) kill() {
	_ = e.server.Close()
	e.client.Close()
	e.plain.CloseIdleConnections()
}

// pause blocks while the process is frozen.
func (e *entry) pause() {
	if thawed := e.frozen.Load(); thawed != nil {
		<-*thawed
	}
}

func (e *entry) freeze() (thaw func()) {
	thawed := make(chan struct{})
	e.frozen.Store(&thawed)
	return func() {
		e.frozen.Store(nil)
		close(thawed)
	}
}

// send is the client's, on a process that may freeze on both sides of it.
func (e *entry) send(ctx context.Context, server netip.AddrPort, request *exchange.Request) exchange.Outcome {
	e.pause()
	defer e.pause()
	return e.client.Send(ctx, server, request)
}

func (e *entry) pick(tried []netip.AddrPort) (netip.AddrPort, bool) {
	first := e.world.intn(servers)
	for i := range servers {
		server := backendAddress((first + i) % servers)
		if !slices.Contains(tried, server) {
			return server, true
		}
	}
	return netip.AddrPort{}, false
}

// ServeHTTP is the request path of an entry host in little.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.pause()
	request := exchange.FromHTTP(r, "")
	if s, isStream := request.Body.(*exchange.Stream); isStream {
		body, err := exchange.BufferBody(s, 1<<16)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = body
	}
	if e.world.naive {
		e.serveNaive(w, request)
		return
	}
	outcome := e.desk.Serve(r.Context(), request, "", func(ctx context.Context) exchange.Outcome {
		e.pause()
		return e.sender.Do(ctx, request, e.pick)
	})
	w.Header().Set(header.RequestID, request.ID)
	switch o := outcome.(type) {
	case *exchange.Response:
		defer o.Close()
		_ = exchange.Copy(w, o)
	case exchange.NotRun:
		w.Header().Set(header.NotRun, string(o.Reason()))
		w.WriteHeader(http.StatusServiceUnavailable)
	case *exchange.Unknown:
		w.Header().Set(header.OutcomeUnknown, string(o.Reason))
		w.WriteHeader(http.StatusBadGateway)
	}
}

// serveNaive forwards with an http.Client, tries another backend server after
// an error, and says "not run" if that fails too.
func (e *entry) serveNaive(w http.ResponseWriter, request *exchange.Request) {
	body := request.Body.(*exchange.Bytes)
	for range 2 {
		server, _ := e.pick(nil)
		outgoing, err := http.NewRequest(request.Method, "http://"+server.String()+request.URL.String(), bytes.NewReader(body.Content))
		require.NoError(e.world.t, err)
		outgoing.Header.Set(header.RequestID, nameOf(e.world.t, request.Header))
		response, err := e.plain.Do(outgoing)
		if err != nil {
			continue
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
		return
	}
	w.Header().Set(header.NotRun, "failed")
	w.WriteHeader(http.StatusServiceUnavailable)
}
