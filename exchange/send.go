package exchange

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"time"

	"trefoilline.example/trefoilline/header"
)

// Send makes one attempt to send the request to the backend server, and returns
// the outcome of the request. The time left until the context's deadline is
// forwarded in the timeout header, and the attempt is cancelled when the context
// ends. A [*Response] must be closed.
//
// The outcome covers all attempts of the request, not just this one: once a backend
// server may have run the request, a later attempt returns [*Unknown] in place of
// [NotRun], and a non-idempotent request is not sent again.
func (c *Client) Send(ctx context.Context, server netip.AddrPort, request *Request) Outcome {
	if !request.beginAttempt() {
		return request.alreadySentOutcome()
	}
	defer request.endAttempt()
	if !request.CanResend() {
		return request.requestOutcome(&unsent{
			reason: BodyConsumed,
			cause:  &BodyConsumedError{},
		})
	}
	a := c.newAttempt(ctx, server, request)
	response, err := a.transport.RoundTrip(a.outgoing)
	a.responseTimer.stop()
	if err != nil {
		return a.handleError(err)
	}
	return a.handleResponse(response)
}

// attempt sends a request to a backend server once.
type attempt struct {
	client    *Client
	server    netip.AddrPort
	request   *Request
	transport *http.Transport
	// echoesID is set if the backend server is known to echo request IDs.
	echoesID bool
	// isReused is set if the connection was used before.
	isReused bool
	guard    *writeGuard
	body     *attemptBody
	outgoing *http.Request
	// callerContext is the context given to Send. The context of outgoing is
	// derived from it.
	callerContext context.Context
	cancel        context.CancelCauseFunc
	// responseTimer cancels an attempt on a reused connection whose response
	// does not start in time.
	responseTimer *pausableTimer
}

func (c *Client) newAttempt(ctx context.Context, server netip.AddrPort, request *Request) *attempt {
	a := &attempt{
		client:        c,
		server:        server,
		request:       request,
		guard:         &writeGuard{},
		callerContext: ctx,
	}
	timeout := orDefault(c.ResponseTimeout, DefaultResponseTimeout)
	a.responseTimer = &pausableTimer{
		timeout:   timeout,
		onTimeout: func() { a.cancelUnresponsive(timeout) },
	}
	a.transport, a.echoesID = c.selectTransport(server, request.canReuseConnection(c.ReuseForNonIdempotent))
	inner, cancel := context.WithCancelCause(ctx)
	a.cancel = cancel
	a.guard.context = inner
	trace := &httptrace.ClientTrace{
		GotConn: a.useConnection,
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			return header.CheckNames(http.Header(h))
		},
	}
	a.outgoing = a.buildRequest(httptrace.WithClientTrace(inner, trace))
	return a
}

// useConnection assigns the connection to the attempt. It cancels the attempt if it
// has ended, if the connection is not a guardedConn, or if the attempt already had
// a connection: a second one means that the transport retries the request on its
// own.
func (a *attempt) useConnection(info httptrace.GotConnInfo) {
	c, isGuarded := info.Conn.(*guardedConn)
	if !isGuarded || !a.guard.attach(c) {
		a.cancel(&AttemptEndedError{})
	}
	if info.Reused {
		a.isReused = true
		a.responseTimer.enable()
	}
}

// cancelUnresponsive cancels an attempt whose backend server sent nothing for the
// timeout.
func (a *attempt) cancelUnresponsive(timeout time.Duration) {
	a.cancel(&ResponseTimeoutError{
		Server:  a.server,
		Timeout: timeout,
	})
}

// buildRequest returns the HTTP request for the backend server.
func (a *attempt) buildRequest(ctx context.Context) *http.Request {
	r := a.request
	dialect := a.client.dialect()
	outgoing := &http.Request{
		Method:     r.Method,
		URL:        a.attemptURL(),
		Host:       r.Host,
		Header:     a.forwardedHeader(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if !r.ToEntryHost && !dialect.KeepsTargets {
		outgoing.URL.Opaque = filterTarget(outgoing.URL.Opaque, r.APIKey)
		outgoing.URL.RawQuery = FilterQuery(outgoing.URL.RawQuery, r.APIKey)
	}
	a.setBody(outgoing)
	if !r.ToEntryHost {
		outgoing.Header.Del(dialect.APIKey)
	}
	for name, values := range r.HeaderOverrides {
		outgoing.Header[name] = values
	}
	outgoing.Header.Set(dialect.RequestID, r.ID)
	if deadline, isSet := ctx.Deadline(); isSet {
		left := deadline.Sub(a.client.now())
		outgoing.Header.Set(dialect.Timeout, dialect.FormatTimeout(left))
	}
	return outgoing.WithContext(ctx)
}

// forwardedHeader returns the headers to forward.
func (a *attempt) forwardedHeader() http.Header {
	r := a.request
	switch {
	case r.ToEntryHost:
		return removeHopByHop(r.Header)
	case a.client.dialect().KeepsTargets:
		return withUserAgent(removeKey(removeHopByHop(r.Header), r.APIKey))
	}
	return FilterHeader(r.Header, r.APIKey)
}

// handleError returns the outcome of an attempt that got no response.
func (a *attempt) handleError(err error) Outcome {
	defer a.abort()
	reason, cause := a.classifyError(err)
	if reason == ResponseTimedOut {
		a.request.forbidReuse()
	}
	if reason == DeadlineExceeded || reason == ResponseTimedOut {
		// The fault that made this connection unresponsive may affect every
		// open connection to the backend server.
		a.client.resetPool(a.server)
	}
	if notRun, isNotRun := a.guard.blockWrites(a.unsentReason(reason), cause); isNotRun {
		return a.request.requestOutcome(notRun)
	}
	return a.unknownOutcome(reason, cause)
}

// unknownOutcome records that the backend server may have run the request, and
// returns the outcome [*Unknown].
func (a *attempt) unknownOutcome(reason header.Reason, cause error) Outcome {
	a.recordPossibleRun()
	return &Unknown{
		Reason: reason,
		Cause:  cause,
	}
}

// recordPossibleRun records that the backend server may have run the request. It
// reports a [Violation] if that makes more than one possible run of a
// non-idempotent request.
func (a *attempt) recordPossibleRun() {
	a.request.recordPossibleRun()
	possibleRuns := a.request.PossibleRuns()
	if a.request.Idempotent || possibleRuns <= 1 || a.client.OnViolation == nil {
		return
	}
	a.client.OnViolation(Violation{
		RequestID:    a.request.ID,
		PossibleRuns: possibleRuns,
	})
}

// abort cancels the attempt, closes its connection and stops reading its body.
func (a *attempt) abort() {
	a.cancel(context.Canceled)
	a.guard.closeConnection()
	if a.body != nil {
		a.body.stop()
	}
}

// classifyError returns the reason and the typed error for an error of the
// transport.
func (a *attempt) classifyError(err error) (header.Reason, error) {
	transportError := a.wrapError(err)
	var timeoutError *ResponseTimeoutError
	switch {
	case errors.Is(a.callerContext.Err(), context.DeadlineExceeded):
		return DeadlineExceeded, transportError
	case a.callerContext.Err() != nil:
		return Cancelled, transportError
	case errors.As(context.Cause(a.outgoing.Context()), &timeoutError):
		return ResponseTimedOut, timeoutError
	}
	return ConnectionBroken, transportError
}

// wrapError wraps the transport's error in a [TransferError] if the attempt had a
// connection, and in a [ConnectError] otherwise.
func (a *attempt) wrapError(err error) error {
	if tooLong := a.guard.headError(); tooLong != nil {
		err = tooLong
	}
	if a.guard.hasConnection() {
		return &TransferError{
			Server: a.server,
			Cause:  err,
		}
	}
	return &ConnectError{
		Server: a.server,
		Cause:  err,
	}
}

// unsentReason returns the reason to report if the attempt ended before it sent a
// byte.
func (a *attempt) unsentReason(reason header.Reason) header.Reason {
	if reason != ConnectionBroken {
		return reason
	}
	if a.guard.hasConnection() {
		return NotSent
	}
	return Unreachable
}
