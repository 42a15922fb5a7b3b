/*
Package caller is a stand-in for a caller of trefoilline, for tests and local
runs. It looks up which entry hosts to use, caches the result, and sends requests
to them. [LoadGenerator] sends requests at a steady rate, whether or not earlier
ones have been answered (open loop).

A look-up is a call to an entry host that returns the entry hosts to use, how
long they are valid, and tickets if the caller asks for them. A ticket is an ID
that an entry host issues; the hosts use it to run a request at most once, so that
a caller may send the request again after an unknown outcome.

# Usage

	c := caller.Caller{
		EntryHosts: entryHosts,
		Key:        key,
	}
	result := c.Send(ctx, caller.Request{
		Method: http.MethodGet,
		Path:   "/stock",
	})
*/
package caller

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/api/trefoilline/v1/trefoillinev1connect"
	"trefoilline.example/trefoilline/header"
)

const (
	lookUpTimeout    = 2 * time.Second
	connectTimeout   = time.Second
	maxHostsTried    = 3
	ticketsPerLookUp = 64
)

// Request is one request to send.
type Request struct {
	Method string
	// Path may include a query.
	Path string
	Body []byte
	// Header is sent with every attempt; it may be nil.
	Header http.Header
	// UseTicket sends the request with a ticket, so that it can be sent again
	// without running twice.
	UseTicket bool
}

// Caller looks up entry hosts and sends requests to them. EntryHosts must be
// set. It is safe for concurrent use.
type Caller struct {
	// EntryHosts are the hosts that the first look-up asks.
	EntryHosts []netip.AddrPort
	// Key is the team's API key; empty for public routes.
	Key string
	// Client sends requests and look-ups; nil means a client with a connect
	// timeout of one second.
	Client *http.Client

	once   sync.Once
	client *http.Client

	mutex   sync.Mutex
	hosts   []netip.AddrPort
	expires time.Time
	tickets []string
}

func (c *Caller) httpClient() *http.Client {
	c.once.Do(func() {
		c.client = c.Client
		if c.client != nil {
			return
		}
		dialer := net.Dialer{
			Timeout: connectTimeout,
		}
		c.client = &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: ticketsPerLookUp,
			},
		}
	})
	return c.client
}

// Send sends one request and returns the result of the last attempt. It tries up
// to three hosts:
//
//   - If the host is unreachable, or rejects the request before it runs with
//     status 503, Send tries the next host.
//   - If the outcome is unknown, Send tries the next host only if the request
//     has a ticket or its method is GET.
//   - If the ticket cannot be used (its issuing host is gone or unreachable, or
//     the ticket expired) and no earlier attempt had an unknown outcome, Send
//     gets a new ticket and sends the request to the same host again.
func (c *Caller) Send(ctx context.Context, request Request) Result {
	start := time.Now()
	hosts, ticket, err := c.hostsAndTicket(ctx, request.UseTicket)
	if err != nil {
		return Result{
			Outcome: Unreachable,
			Reason:  err.Error(),
		}
	}
	var lastResult Result
	// mayBeAdmitted is true if an earlier attempt with the ticket had an unknown
	// outcome, so that the request may have been admitted for running.
	mayBeAdmitted := false
	for i, h := range hosts {
		if i == maxHostsTried {
			break
		}
		lastResult = c.sendTo(ctx, h, ticket, request)
		lastResult.HostsTried = i + 1
		lastResult.Host = h
		if lastResult.isTicketUnusable() && !mayBeAdmitted {
			ticket = c.replaceTicket(ctx)
			lastResult = c.sendTo(ctx, h, ticket, request)
			lastResult.Host = h
		}
		mayBeAdmitted = mayBeAdmitted || lastResult.Outcome == OutcomeUnknown
		if !lastResult.canRetry(request, ticket != "") {
			break
		}
		c.removeHost(h)
	}
	lastResult.Latency = time.Since(start)
	return lastResult
}

// replaceTicket discards the cached tickets and returns a new one, or an empty
// string if the look-up fails or issues none.
func (c *Caller) replaceTicket(ctx context.Context) string {
	c.mutex.Lock()
	c.tickets = nil
	c.mutex.Unlock()
	_, ticket, err := c.hostsAndTicket(ctx, true)
	if err != nil {
		return ""
	}
	return ticket
}

// hostsAndTicket returns the hosts to try and, if wanted, a ticket. It makes a
// look-up if the cached look-up has expired, if it has no hosts left, or if a
// ticket is wanted and none is cached.
func (c *Caller) hostsAndTicket(ctx context.Context, wantTicket bool) ([]netip.AddrPort, string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	expired := time.Now().After(c.expires) || len(c.hosts) == 0
	if expired || (wantTicket && len(c.tickets) == 0) {
		if err := c.lookUp(ctx, wantTicket); err != nil {
			return nil, "", err
		}
	}
	ticket := ""
	if wantTicket && len(c.tickets) > 0 {
		ticket = c.tickets[0]
		c.tickets = c.tickets[1:]
	}
	return append([]netip.AddrPort(nil), c.hosts...), ticket, nil
}

// lookUp asks the hosts of the last result first, then EntryHosts, until one
// answers with at least one host. The caller holds c.mutex.
func (c *Caller) lookUp(ctx context.Context, wantTicket bool) error {
	request := &trefoillinev1.LookUpRequest{}
	if wantTicket {
		request.Tickets = ticketsPerLookUp
	}
	candidates := append(append([]netip.AddrPort(nil), c.hosts...), c.EntryHosts...)
	var lastErr error
	for _, h := range candidates {
		response, err := c.callLookUp(ctx, h, request)
		if err != nil {
			lastErr = err
			continue
		}
		c.cacheLookUp(response)
		if len(c.hosts) > 0 {
			return nil
		}
	}
	return &LookUpError{
		HostsCalled: len(candidates),
		Cause:       lastErr,
	}
}

func (c *Caller) callLookUp(ctx context.Context, host netip.AddrPort, request *trefoillinev1.LookUpRequest) (*trefoillinev1.LookUpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	client := trefoillinev1connect.NewLookUpServiceClient(c.httpClient(), "http://"+host.String(), connect.WithProtoJSON())
	response, err := client.LookUp(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (c *Caller) cacheLookUp(response *trefoillinev1.LookUpResponse) {
	c.hosts = c.hosts[:0]
	for _, h := range response.GetHosts() {
		address, err := netip.ParseAddrPort(h.GetAddress())
		if err == nil {
			c.hosts = append(c.hosts, address)
		}
	}
	c.expires = time.Now().Add(response.GetValidFor().AsDuration())
	c.tickets = append(c.tickets, response.GetTickets().GetNames()...)
}

// removeHost removes a failed host from the cached hosts until the next look-up.
func (c *Caller) removeHost(host netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.hosts[:0]
	for _, h := range c.hosts {
		if h != host {
			kept = append(kept, h)
		}
	}
	c.hosts = kept
}

func (c *Caller) sendTo(ctx context.Context, host netip.AddrPort, ticket string, request Request) Result {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+host.String()+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Result{
			Outcome: Unreachable,
			Reason:  err.Error(),
		}
	}
	maps.Copy(httpRequest.Header, request.Header)
	if c.Key != "" {
		httpRequest.Header.Set(header.APIKey, c.Key)
	}
	if ticket != "" {
		httpRequest.Header.Set(header.Ticket, ticket)
	}
	response, err := c.httpClient().Do(httpRequest)
	if err != nil {
		return transportErrorResult(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{
			Outcome: OutcomeUnknown,
			Reason:  err.Error(),
		}
	}
	return responseResult(response, body)
}

// SendDirect sends one request to the given entry host, without a look-up, a
// ticket or retries. The result has no Host, HostsTried or Latency.
func SendDirect(ctx context.Context, host netip.AddrPort, key string, request Request) Result {
	c := Caller{
		Key:    key,
		Client: http.DefaultClient,
	}
	return c.sendTo(ctx, host, "", request)
}
