package exchange

import (
	"errors"
	"io"
	"net/http"

	"trefoilline.example/trefoilline/header"
)

// Response is a backend server's answer that has begun. Read it to its end to
// know that it is whole, and close it.
type Response struct {
	Status int
	// Header is what may go to the caller.
	Header http.Header
	// Length is the body's length in bytes, negative if only its end tells.
	Length int64
	// OnEnd is called once, when the answer is known to be whole or broken. It
	// may be nil.
	OnEnd func()

	try       *try
	response  *http.Response
	announced []string
	stall     *watchdog
	received  int64
	whole     bool
	lost      bool
	err       error
}

// answered tells what became of a try that got an answer.
func (t *try) answered(response *http.Response) Outcome {
	if cause := t.misdirected(response); cause != nil {
		// The order of answers on the open connections can't be trusted, nor
		// that the backend server still echoes names.
		t.client.RemoveServer(t.server)
		defer t.end()
		return t.unknown(MismatchedResponse, cause)
	}
	if reason, isRefusal := t.refusal(response); isRefusal {
		defer t.end()
		return t.request.settle(&refused{
			reason: reason,
		})
	}
	if reason := response.Header.Get(header.OutcomeUnknown); t.request.ToEntryHost && reason != "" {
		defer t.end()
		return t.unknown(header.Reason(reason), &HostOutcomeUnknownError{
			Host: t.server,
		})
	}
	if t.request.Method != http.MethodHead && isUnbounded(response) && !t.mayEndWithConnection(response) {
		defer t.end()
		return t.unknown(CloseDelimited, &CloseDelimitedError{
			Server: t.server,
		})
	}
	if response.Header.Get(t.client.dialect().RequestID) != "" {
		t.client.keep(t.server)
	}
	t.expose()
	return t.newAnswered(response)
}

// misdirected returns an error if the answer names another request. An answer
// without a name counts as another's if the backend server is known to echo
// names, or the connection carried something before, or it leads to an entry host.
func (t *try) misdirected(response *http.Response) error {
	echoed := response.Header.Get(t.client.dialect().RequestID)
	mayBeUnnamed := !t.echoes && !t.isReused && !t.request.ToEntryHost
	if echoed == t.request.ID || echoed == "" && mayBeUnnamed {
		return nil
	}
	return &MismatchedResponseError{
		Server: t.server,
		Sent:   t.request.ID,
		Echoed: echoed,
	}
}

// refusal returns why the backend server did not run the request. A refusal
// counts only if it names the request.
func (t *try) refusal(response *http.Response) (header.Reason, bool) {
	dialect := t.client.dialect()
	reason := response.Header.Get(dialect.NotRun)
	isRefusing := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusTooManyRequests
	if dialect.TargetServer != "" && response.StatusCode == http.StatusMisdirectedRequest {
		reason, isRefusing = string(Misdirected), true
	}
	name := t.request.ID
	isNamed := name != "" && response.Header.Get(dialect.RequestID) == name
	return header.Reason(reason), reason != "" && isRefusing && isNamed
}

// mayEndWithConnection tells whether an answer without a length is good.
func (t *try) mayEndWithConnection(response *http.Response) bool {
	return t.client.AllowCloseDelimited && response.StatusCode != http.StatusSwitchingProtocols
}

// isUnbounded tells whether the answer ends with its connection.
func isUnbounded(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 ||
		response.StatusCode == http.StatusSwitchingProtocols
}

func (t *try) newAnswered(response *http.Response) *Response {
	a := &Response{
		Status:   response.StatusCode,
		Header:   withoutHopByHop(response.Header),
		Length:   response.ContentLength,
		try:      t,
		response: response,
	}
	// Only this system tells a caller that a request was not run.
	a.Header.Del(header.NotRun)
	a.Header.Del(header.OutcomeUnknown)
	for name := range response.Trailer {
		a.announced = append(a.announced, name)
	}
	a.stall = &watchdog{
		span:    t.client.StallTimeout,
		expired: func() { t.silent(t.client.StallTimeout) },
		enabled: true,
	}
	return a
}

// Read reads from the answer's body. It returns [io.EOF] only if the answer is
// whole, and otherwise a [IncompleteResponseError].
func (a *Response) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	a.stall.run()
	n, err := a.response.Body.Read(p)
	a.stall.pause()
	a.received += int64(n)
	if err == nil {
		return n, nil
	}
	a.err = a.finish(err)
	if a.OnEnd != nil {
		a.OnEnd()
	}
	return n, a.err
}

// finish returns io.EOF if the answer came whole.
func (a *Response) finish(err error) error {
	if err == io.EOF {
		err = a.check()
	}
	if err == nil {
		a.whole = true
		return io.EOF
	}
	a.lost = a.try.outgoing.Context().Err() == nil
	return &IncompleteResponseError{
		Server:   a.try.server,
		Received: a.received,
		Cause:    err,
	}
}

// check compares a body that came to its end with what the answer stated.
func (a *Response) check() error {
	if a.hasBody() && a.Length >= 0 && a.received != a.Length {
		return &LengthMismatchError{
			Declared: a.Length,
			Received: a.received,
		}
	}
	for _, name := range a.announced {
		if len(a.response.Trailer[name]) == 0 {
			return &MissingTrailerError{
				Name: name,
			}
		}
	}
	return nil
}

// hasBody tells whether the answer has the body that its length states.
func (a *Response) hasBody() bool {
	return a.try.request.Method != http.MethodHead && a.Status != http.StatusNotModified
}

// Trailer returns the trailers, once the answer is whole.
func (a *Response) Trailer() http.Header {
	if !a.whole {
		return nil
	}
	return withoutHopByHop(a.response.Trailer)
}

// Err returns why the answer is not whole: a [IncompleteResponseError], or nil if
// nothing is known to be wrong.
func (a *Response) Err() error {
	var broken *IncompleteResponseError
	if errors.As(a.err, &broken) {
		return broken
	}
	return nil
}

// BrokenByServer tells whether the answer broke because of the backend server, and not
// because its caller went away, or the time was over, or it fell silent.
func (a *Response) BrokenByServer() bool { return a.lost }

// Close ends the answer. The connection of one that was not read to its end is
// closed, so that the rest of it never meets another request.
func (a *Response) Close() {
	a.stall.stop()
	if !a.whole {
		a.try.gate.abandon()
	}
	_ = a.response.Body.Close()
	a.try.cancel(nil)
	if a.try.source != nil {
		a.try.source.end()
	}
}
