/*
Package caller is the stand-in of a caller: it asks entry hosts which of them
to use, caches the answer, and sends requests open loop, at a steady rate
whatever the answers are.

# Usage

	c := caller.Caller{
		Entries: entries,
		Key:     key,
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
	lookUpTimeout  = 2 * time.Second
	connectTimeout = time.Second
	maxHostsTried  = 3
	ticketBatch    = 64
)

// Request is one request of the caller's.
type Request struct {
	Method string
	// Path may carry a query.
	Path string
	Body []byte
	// Header goes along with every sending; it may be nil.
	Header http.Header
	// UseTicket asks for a name, so that the request may be sent again.
	UseTicket bool
}

// Caller sends requests through look-ups. The zero value needs Entries, and is
// safe for use by several goroutines.
type Caller struct {
	// EntryHosts are the hosts that the first look-up asks.
	EntryHosts []netip.AddrPort
	// Key is the team's key; none for open routes.
	Key string
	// Client sends the requests; a client of its own if nil.
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
				MaxIdleConnsPerHost: ticketBatch,
			},
		}
	})
	return c.client
}

// Send sends one request and follows the rules for callers: a request that was
// not run goes to the next host; one whose outcome is unknown goes there only
// if its ticket or its method allows that.
func (c *Caller) Send(ctx context.Context, request Request) Result {
	start := time.Now()
	hosts, ticket, err := c.prepare(ctx, request.UseTicket)
	if err != nil {
		return Result{
			Outcome: Unreachable,
			Reason:  err.Error(),
		}
	}
	var last Result
	// mayRun tells whether a request under the ticket may have been admitted.
	mayRun := false
	for i, h := range hosts {
		if i == maxHostsTried {
			break
		}
		last = c.attempt(ctx, h, ticket, request)
		last.HostsTried = i + 1
		last.Host = h
		if last.issuerLost() && !mayRun {
			ticket = c.replaceTicket(ctx)
			last = c.attempt(ctx, h, ticket, request)
			last.Host = h
		}
		mayRun = mayRun || last.Outcome == OutcomeUnknown
		if !last.again(request, ticket != "") {
			break
		}
		c.forget(h)
	}
	last.Latency = time.Since(start)
	return last
}

// replaceTicket drops the names of a host that is gone and returns a new one,
// or none if no host gives any.
func (c *Caller) replaceTicket(ctx context.Context) string {
	c.mutex.Lock()
	c.tickets = nil
	c.mutex.Unlock()
	_, ticket, err := c.prepare(ctx, true)
	if err != nil {
		return ""
	}
	return ticket
}

// prepare returns the hosts to try, and a ticket if one is wanted.
func (c *Caller) prepare(ctx context.Context, wantTicket bool) ([]netip.AddrPort, string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stale := time.Now().After(c.expires) || len(c.hosts) == 0
	if stale || (wantTicket && len(c.tickets) == 0) {
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

// lookUp asks the hosts of the last answer first, then those of the settings.
func (c *Caller) lookUp(ctx context.Context, wantTicket bool) error {
	request := &trefoillinev1.LookUpRequest{}
	if wantTicket {
		request.Tickets = ticketBatch
	}
	known := append(append([]netip.AddrPort(nil), c.hosts...), c.EntryHosts...)
	var last error
	for _, h := range known {
		answer, err := c.ask(ctx, h, request)
		if err != nil {
			last = err
			continue
		}
		c.keep(answer)
		if len(c.hosts) > 0 {
			return nil
		}
	}
	return &LookUpError{
		HostsAsked: len(known),
		Cause:      last,
	}
}

func (c *Caller) ask(ctx context.Context, host netip.AddrPort, request *trefoillinev1.LookUpRequest) (*trefoillinev1.LookUpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	client := trefoillinev1connect.NewLookUpServiceClient(c.httpClient(), "http://"+host.String(), connect.WithProtoJSON())
	response, err := client.LookUp(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (c *Caller) keep(answer *trefoillinev1.LookUpResponse) {
	c.hosts = c.hosts[:0]
	for _, h := range answer.GetHosts() {
		address, err := netip.ParseAddrPort(h.GetAddress())
		if err == nil {
			c.hosts = append(c.hosts, address)
		}
	}
	c.expires = time.Now().Add(answer.GetValidFor().AsDuration())
	c.tickets = append(c.tickets, answer.GetTickets().GetNames()...)
}

// forget drops a host that failed until the next look-up.
func (c *Caller) forget(host netip.AddrPort) {
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

func (c *Caller) attempt(ctx context.Context, host netip.AddrPort, ticket string, request Request) Result {
	sent, err := http.NewRequestWithContext(ctx, request.Method, "http://"+host.String()+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Result{
			Outcome: Unreachable,
			Reason:  err.Error(),
		}
	}
	maps.Copy(sent.Header, request.Header)
	if c.Key != "" {
		sent.Header.Set(header.APIKey, c.Key)
	}
	if ticket != "" {
		sent.Header.Set(header.Ticket, ticket)
	}
	response, err := c.httpClient().Do(sent)
	if err != nil {
		return failed(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{
			Outcome: OutcomeUnknown,
			Reason:  err.Error(),
		}
	}
	return read(response, body)
}

// Ask sends one request straight to an entry host, without a look-up.
func SendDirect(ctx context.Context, host netip.AddrPort, key string, request Request) Result {
	c := Caller{
		Key:    key,
		Client: http.DefaultClient,
	}
	return c.attempt(ctx, host, "", request)
}
