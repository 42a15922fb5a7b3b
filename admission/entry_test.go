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

// entryHost is a process on an entry host.
type entryHost struct {
	cluster      *cluster
	index        int
	address      netip.AddrPort
	server       *http.Server
	client       *exchange.Client
	httpClient   *http.Client
	sender       *retry.Sender
	deduplicator *admission.Deduplicator
	frozen       atomic.Pointer[chan struct{}]
}

// startEntryHost starts a new process on entry host i.
func (c *cluster) startEntryHost(i int) {
	e := &entryHost{
		cluster: c,
		index:   i,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		client: &exchange.Client{
			Dial:            c.network.Dial,
			ResponseTimeout: 2 * time.Second,
			OnViolation:     func(exchange.Violation) { c.violations.Add(1) },
		},
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext: c.network.Dial,
			},
			Timeout: 2 * time.Second,
		},
	}
	e.deduplicator = &admission.Deduplicator{
		Registry: &ticket.Registry{
			Host:        e.address,
			OnViolation: func(ticket.Violation) { c.violations.Add(1) },
		},
		IdempotencyKeys: &ticket.IdempotencyKeys{
			Store: c.store,
		},
		Send:        e.client.Send,
		IsEntryHost: isEntryHost,
	}
	e.sender = &retry.Sender{
		Send: e.send,
	}
	e.server = c.serve(e.address, e)
	c.mu.Lock()
	c.entryHosts[i] = e
	c.mu.Unlock()
}

// isEntryHost reports whether the address is that of an entry host and not that of a
// backend server.
func isEntryHost(address netip.AddrPort) bool { return address.Addr().As4()[1] == 0 }

// kill ends the process, with the loss of its memory.
func (e *entryHost) kill() {
	_ = e.server.Close()
	e.client.Close()
	e.httpClient.CloseIdleConnections()
}

// waitWhileFrozen blocks while the process is frozen.
func (e *entryHost) waitWhileFrozen() {
	if thawed := e.frozen.Load(); thawed != nil {
		<-*thawed
	}
}

// freeze stops the process from handling requests until thaw is called.
func (e *entryHost) freeze() (thaw func()) {
	thawed := make(chan struct{})
	e.frozen.Store(&thawed)
	return func() {
		e.frozen.Store(nil)
		close(thawed)
	}
}

// send sends the request with the client. The process may be frozen before and after it.
func (e *entryHost) send(ctx context.Context, server netip.AddrPort, request *exchange.Request) exchange.Outcome {
	e.waitWhileFrozen()
	defer e.waitWhileFrozen()
	return e.client.Send(ctx, server, request)
}

// pick returns a random backend server that is not in tried.
func (e *entryHost) pick(tried []netip.AddrPort) (netip.AddrPort, bool) {
	first := e.cluster.randomInt(servers)
	for i := range servers {
		server := backendAddress((first + i) % servers)
		if !slices.Contains(tried, server) {
			return server, true
		}
	}
	return netip.AddrPort{}, false
}

// ServeHTTP is a minimal version of the request path of an entry host.
func (e *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.waitWhileFrozen()
	request := exchange.FromHTTP(r, "")
	if s, isStream := request.Body.(*exchange.Stream); isStream {
		body, err := exchange.BufferBody(s, 1<<16)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = body
	}
	if e.cluster.baseline {
		e.serveBaseline(w, request)
		return
	}
	outcome := e.deduplicator.Serve(r.Context(), request, "", func(ctx context.Context) exchange.Outcome {
		e.waitWhileFrozen()
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

// serveBaseline forwards without admission: it uses an http.Client, tries
// another backend server after an error, and reports NotRun if that fails too.
func (e *entryHost) serveBaseline(w http.ResponseWriter, request *exchange.Request) {
	body := request.Body.(*exchange.Bytes)
	for range 2 {
		server, _ := e.pick(nil)
		outgoing, err := http.NewRequest(request.Method, "http://"+server.String()+request.URL.String(), bytes.NewReader(body.Content))
		require.NoError(e.cluster.t, err)
		outgoing.Header.Set(header.RequestID, requestID(e.cluster.t, request.Header))
		response, err := e.httpClient.Do(outgoing)
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
