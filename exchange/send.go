package exchange

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"time"

	"trefoilline.example/trefoilline/header"
)

// Send sends the request to the backend server, once, and returns what became
// of the request. The context's deadline goes along, and its end cancels the
// request. An [*Response] must be closed.
//
// The outcome is that of the request, not of the try: after a try that may have
// run, a later one that was not run is [*Unknown]. A request that is not
// idempotent and may have run is not sent again.
func (c *Client) Send(ctx context.Context, server netip.AddrPort, request *Request) Outcome {
	if !request.begin() {
		return request.alreadySent()
	}
	defer request.finish()
	if !request.CanResend() {
		return request.settle(&unsent{
			reason: BodyConsumed,
			cause:  &BodyConsumedError{},
		})
	}
	t := c.newTry(ctx, server, request)
	response, err := t.transport.RoundTrip(t.outgoing)
	t.beginning.stop()
	if err != nil {
		return t.failed(err)
	}
	return t.answered(response)
}

// try is one sending of a request.
type try struct {
	client    *Client
	server    netip.AddrPort
	request   *Request
	transport *http.Transport
	// echoes tells that the backend server is known to echo names.
	echoes bool
	// isReused tells that the connection carried something before.
	isReused bool
	gate     *gate
	source   *source
	outgoing *http.Request
	// caller is the context of the request, which the try's context ends with.
	caller context.Context
	cancel context.CancelCauseFunc
	// beginning watches for the beginning of the answer.
	beginning *watchdog
}

func (c *Client) newTry(ctx context.Context, server netip.AddrPort, request *Request) *try {
	t := &try{
		client:  c,
		server:  server,
		request: request,
		gate:    &gate{},
		caller:  ctx,
	}
	timeout := orDefault(c.ResponseTimeout, DefaultResponseTimeout)
	t.beginning = &watchdog{
		span:    timeout,
		expired: func() { t.silent(timeout) },
	}
	t.transport, t.echoes = c.transport(server, request.mayUseKept(c.ReuseForNonIdempotent))
	inner, cancel := context.WithCancelCause(ctx)
	t.cancel = cancel
	trace := &httptrace.ClientTrace{
		GotConn: t.gotConnection,
	}
	t.outgoing = t.build(httptrace.WithClientTrace(inner, trace))
	return t
}

// gotConnection gives the connection to the try, or ends the try if it already
// had one: a second connection is a replay by the transport.
func (t *try) gotConnection(info httptrace.GotConnInfo) {
	c, isGated := info.Conn.(*conn)
	if !isGated || !t.gate.admit(c) {
		t.cancel(&AttemptEndedError{})
	}
	if info.Reused {
		t.isReused = true
		t.beginning.enable()
	}
}

// silent ends a try whose backend server said nothing for the span.
func (t *try) silent(span time.Duration) {
	t.cancel(&ResponseTimeoutError{
		Server:  t.server,
		Timeout: span,
	})
}

// build makes the request that goes to the backend server.
func (t *try) build(ctx context.Context) *http.Request {
	r := t.request
	forwarded, query := forwardable(r)
	outgoing := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     t.server.String(),
			Path:     r.URL.Path,
			RawPath:  r.URL.RawPath,
			RawQuery: query,
		},
		Host:       r.Host,
		Header:     forwarded,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	t.setBody(outgoing)
	dialect := t.client.dialect()
	if !r.ToEntryHost {
		outgoing.Header.Del(dialect.APIKey)
	}
	for name, values := range r.HeaderOverrides {
		outgoing.Header[name] = values
	}
	outgoing.Header.Set(dialect.RequestID, r.ID)
	if deadline, isSet := ctx.Deadline(); isSet {
		left := deadline.Sub(t.client.now())
		outgoing.Header.Set(dialect.Timeout, dialect.FormatTimeout(left))
	}
	return outgoing.WithContext(ctx)
}

// forwardable returns the headers and the query that go along.
func forwardable(r *Request) (http.Header, string) {
	if r.ToEntryHost {
		return withoutHopByHop(r.Header), r.URL.RawQuery
	}
	return FilterHeader(r.Header, r.APIKey), FilterQuery(r.URL.RawQuery, r.APIKey)
}

// failed tells what became of a try without an answer.
func (t *try) failed(err error) Outcome {
	defer t.end()
	reason, cause := t.explain(err)
	if reason == ResponseTimedOut {
		t.request.silence()
	}
	if reason == DeadlineExceeded || reason == ResponseTimedOut {
		// What swallowed this request may have swallowed every open connection.
		t.client.drop(t.server)
	}
	if proof, isProven := t.gate.close(t.beforeSending(reason), cause); isProven {
		return t.request.settle(proof)
	}
	return t.unknown(reason, cause)
}

// unknown notes that the try may have run.
func (t *try) unknown(reason header.Reason, cause error) Outcome {
	t.expose()
	return &Unknown{
		Reason: reason,
		Cause:  cause,
	}
}

// expose notes that the try may have run, and checks the invariant.
func (t *try) expose() {
	t.request.expose()
	handedOver := t.request.PossibleRuns()
	if t.request.Idempotent || handedOver <= 1 || t.client.OnViolation == nil {
		return
	}
	t.client.OnViolation(Violation{
		RequestID:    t.request.ID,
		PossibleRuns: handedOver,
	})
}

// end gives up the try and its connection.
func (t *try) end() {
	t.cancel(context.Canceled)
	t.gate.abandon()
	if t.source != nil {
		t.source.end()
	}
}

// explain turns the transport's error into a reason and a typed error.
func (t *try) explain(err error) (header.Reason, error) {
	transfer := t.transferError(err)
	var silent *ResponseTimeoutError
	switch {
	case errors.Is(t.caller.Err(), context.DeadlineExceeded):
		return DeadlineExceeded, transfer
	case t.caller.Err() != nil:
		return Cancelled, transfer
	case errors.As(context.Cause(t.outgoing.Context()), &silent):
		return ResponseTimedOut, silent
	}
	return ConnectionBroken, transfer
}

func (t *try) transferError(err error) error {
	if t.gate.connected() {
		return &TransferError{
			Server: t.server,
			Cause:  err,
		}
	}
	return &ConnectError{
		Server: t.server,
		Cause:  err,
	}
}

// beforeSending is the reason of a try that ended before a byte went out.
func (t *try) beforeSending(reason header.Reason) header.Reason {
	if reason != ConnectionBroken {
		return reason
	}
	if t.gate.connected() {
		return NotSent
	}
	return Unreachable
}
