package caller

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/admission"
	"trefoilline.example/trefoilline/header"
)

// Kind sorts results by what the caller knows of its request.
type Kind string

// The kinds of results.
const (
	// Answered requests ran, and the whole answer came.
	Answered Kind = "answered"
	// NotRun requests were refused and did not run.
	NotRun Kind = "not-run"
	// Unknown requests may have run.
	Unknown Kind = "unknown"
	// Unreached requests met no host.
	Unreached Kind = "unreached"
)

// Result is what came of a request.
type Result struct {
	Kind Kind
	// Status is the HTTP status; zero without an answer.
	Status int
	// Reason tells why a request was not answered.
	Reason string
	Header http.Header
	Body   []byte
	// Host is the entry host that the request was sent to last.
	Host netip.AddrPort
	// Tries counts the hosts that the request was sent to.
	Tries   int
	Latency time.Duration
}

// again reports whether the request may be sent to another host.
func (r Result) again(request Request, hasTicket bool) bool {
	switch r.Kind {
	case Unreached:
		return true
	case NotRun:
		return r.Status == http.StatusServiceUnavailable
	case Unknown:
		return hasTicket || request.Method == http.MethodGet
	default:
		return false
	}
}

// issuerLost reports whether this sending did not run because the host that
// issued the ticket is gone.
func (r Result) issuerLost() bool {
	switch header.Reason(r.Reason) {
	case admission.IssuerGone, admission.IssuerUnreachable, admission.TicketExpired:
		return r.Kind == Unknown
	default:
		return false
	}
}

// failed sorts an error of the transport: a connection that was never made
// carried no request.
func failed(err error) Result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Result{
			Kind:   Unreached,
			Reason: err.Error(),
		}
	}
	return Result{
		Kind:   Unknown,
		Reason: err.Error(),
	}
}

func read(response *http.Response, body []byte) Result {
	result := Result{
		Kind:   Answered,
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
	}
	if reason := response.Header.Get(header.NotRun); reason != "" {
		result.Kind = NotRun
		result.Reason = reason
	}
	if reason := response.Header.Get(header.OutcomeUnknown); reason != "" {
		result.Kind = Unknown
		result.Reason = reason
	}
	return result
}

// LookUpError reports that no entry host answered a look-up.
type LookUpError struct {
	// Asked is the number of hosts asked.
	Asked int
	Cause error
}

func (e *LookUpError) Error() string {
	return fmt.Sprintf("none of %d entry hosts answered the look-up: %v", e.Asked, e.Cause)
}

func (e *LookUpError) Unwrap() error { return e.Cause }
