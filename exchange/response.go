package exchange

import (
	"errors"
	"io"
	"net/http"

	"trefoilline.example/trefoilline/header"
)

// Response is a backend server's response, of which the status and the headers
// have arrived. It is known to be complete only once Read returns [io.EOF]. Close
// it after use.
type Response struct {
	Status int
	// Header has the headers to forward to the caller.
	Header http.Header
	// Length is the length of the body in bytes, negative if unknown.
	Length int64
	// OnEnd, if not nil, is called by the Read that reaches the end of the body
	// or fails. It is not called if the response is closed before that.
	OnEnd func()

	attempt           *attempt
	httpResponse      *http.Response
	announcedTrailers []string
	stallTimer        *pausableTimer
	received          int64
	isComplete        bool
	brokenByServer    bool
	err               error
}

// handleResponse returns the outcome of an attempt that got a response.
func (a *attempt) handleResponse(response *http.Response) Outcome {
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return a.handleError(err)
	}
	if cause := a.checkRequestID(response); cause != nil {
		// Open connections to this backend server may return responses in the
		// wrong order, and the server may no longer echo request IDs.
		a.client.RemoveServer(a.server)
		defer a.abort()
		return a.unknownOutcome(MismatchedResponse, cause)
	}
	if a.request.OnResponseHeader != nil && response.StatusCode != http.StatusMisdirectedRequest {
		a.request.OnResponseHeader(response.StatusCode, response.Header)
	}
	if reason, isRefused := a.refusalReason(response); isRefused {
		defer a.abort()
		return a.request.requestOutcome(&refused{
			reason: reason,
		})
	}
	if reason := response.Header.Get(header.OutcomeUnknown); a.request.ToEntryHost && reason != "" {
		defer a.abort()
		return a.unknownOutcome(header.Reason(reason), &HostOutcomeUnknownError{
			Host: a.server,
		})
	}
	if a.request.Method != http.MethodHead && isCloseDelimited(response) && !a.allowsCloseDelimited(response) {
		defer a.abort()
		return a.unknownOutcome(CloseDelimited, &CloseDelimitedError{
			Server: a.server,
		})
	}
	if response.Header.Get(a.client.dialect().RequestID) != "" {
		a.client.enablePool(a.server)
	}
	a.recordPossibleRun()
	return a.newResponse(response)
}

// checkHead returns an error if the protocol does not allow the head of the response.
func checkHead(response *http.Response) error {
	if err := header.CheckStatus(response.StatusCode); err != nil {
		return err
	}
	return header.CheckNames(response.Header)
}

// checkRequestID returns an error if the response has the ID of another request. A
// response without an ID is an error if the backend server is known to echo IDs,
// if the connection was used before, if the request goes to an entry host, or if all servers are
// required to echo IDs.
func (a *attempt) checkRequestID(response *http.Response) error {
	echoed := response.Header.Get(a.client.dialect().RequestID)
	mayLackID := !a.echoesID && !a.isReused && !a.request.ToEntryHost && !a.client.RequireID
	if echoed == a.request.ID || echoed == "" && mayLackID {
		return nil
	}
	return &MismatchedResponseError{
		Server: a.server,
		Sent:   a.request.ID,
		Echoed: echoed,
	}
}

// refusalReason reports whether the response is a refusal, and the reason for it. A
// refusal means that the backend server did not run the request. It has the
// request's ID, and either status 503 or 429 and a reason in the dialect's NotRun
// header, or status 421 if the dialect has a TargetServer header.
func (a *attempt) refusalReason(response *http.Response) (header.Reason, bool) {
	dialect := a.client.dialect()
	reason := response.Header.Get(dialect.NotRun)
	isRefusal := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests
	if dialect.TargetServer != "" && response.StatusCode == http.StatusMisdirectedRequest {
		reason, isRefusal = string(Misdirected), true
	}
	id := a.request.ID
	hasID := id != "" && response.Header.Get(dialect.RequestID) == id
	return header.Reason(reason), reason != "" && isRefusal && hasID
}

// allowsCloseDelimited reports whether a close-delimited response is accepted.
// Status 101 (Switching Protocols) never is.
func (a *attempt) allowsCloseDelimited(response *http.Response) bool {
	return a.client.AllowCloseDelimited && response.StatusCode != http.StatusSwitchingProtocols
}

// isCloseDelimited reports whether only the close of the connection marks the end
// of the response. This includes status 101 (Switching Protocols), after which the
// connection carries another protocol.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 ||
		response.StatusCode == http.StatusSwitchingProtocols
}

func (a *attempt) newResponse(response *http.Response) *Response {
	r := &Response{
		Status:       response.StatusCode,
		Header:       deleteHopByHop(response.Header),
		Length:       response.ContentLength,
		attempt:      a,
		httpResponse: response,
	}
	// This entry host sets these headers itself when it reports such an outcome
	// to the caller. They are not taken over from a response.
	r.Header.Del(header.NotRun)
	r.Header.Del(header.OutcomeUnknown)
	for name := range response.Trailer {
		r.announcedTrailers = append(r.announcedTrailers, name)
	}
	r.stallTimer = &pausableTimer{
		timeout:   a.client.StallTimeout,
		onTimeout: func() { a.cancelUnresponsive(a.client.StallTimeout) },
		enabled:   true,
	}
	return r
}

// Read reads from the body. It returns [io.EOF] only at the end of a complete
// response; any other error is an [IncompleteResponseError].
func (r *Response) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	r.stallTimer.restart()
	n, err := r.httpResponse.Body.Read(p)
	// Time that the caller takes between reads does not count.
	r.stallTimer.pause()
	r.received += int64(n)
	if err == nil {
		return n, nil
	}
	r.err = r.finish(err)
	if r.OnEnd != nil {
		r.OnEnd()
	}
	return n, r.err
}

// finish records how the body ended and returns the error for Read: [io.EOF] if
// the response is complete.
func (r *Response) finish(err error) error {
	if err == io.EOF {
		err = r.checkComplete()
	}
	if err == nil {
		r.isComplete = true
		r.attempt.guard.isComplete.Store(true)
		return io.EOF
	}
	r.brokenByServer = r.attempt.outgoing.Context().Err() == nil
	return &IncompleteResponseError{
		Server:   r.attempt.server,
		Received: r.received,
		Cause:    err,
	}
}

// checkComplete returns an error if the body does not have the declared length, or
// an announced trailer is missing, or a trailer has an invalid name.
func (r *Response) checkComplete() error {
	if r.hasBody() && r.Length >= 0 && r.received != r.Length {
		return &LengthMismatchError{
			Declared: r.Length,
			Received: r.received,
		}
	}
	for _, name := range r.announcedTrailers {
		if len(r.httpResponse.Trailer[name]) == 0 {
			return &MissingTrailerError{
				Name: name,
			}
		}
	}
	return header.CheckNames(r.httpResponse.Trailer)
}

// hasBody reports whether the body must have the declared length. Responses to
// HEAD and responses with status 304 may declare a length, but have no body.
func (r *Response) hasBody() bool {
	return r.attempt.request.Method != http.MethodHead && r.Status != http.StatusNotModified
}

// Trailer returns the trailers of a complete response, and nil before that.
func (r *Response) Trailer() http.Header {
	if !r.isComplete {
		return nil
	}
	return removeHopByHop(r.httpResponse.Trailer)
}

// Err returns the [IncompleteResponseError] that Read returned, or nil if there was
// none.
func (r *Response) Err() error {
	var incomplete *IncompleteResponseError
	if errors.As(r.err, &incomplete) {
		return incomplete
	}
	return nil
}

// BrokenByServer reports whether the response broke because of the backend server
// or its connection. It is false if the caller closed its connection or cancelled the
// request, the deadline passed or the response stalled.
func (r *Response) BrokenByServer() bool { return r.brokenByServer }

// Close releases the response. It closes the connection if the response was not
// read to its end, so that the rest of it is not taken for the response to another
// request.
func (r *Response) Close() {
	r.stallTimer.stop()
	if !r.isComplete {
		r.attempt.guard.closeConnection()
	}
	_ = r.httpResponse.Body.Close()
	r.attempt.cancel(nil)
	if r.attempt.body != nil {
		r.attempt.body.stop()
	}
}
