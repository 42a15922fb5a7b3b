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
type Outcome string

// The kinds of results.
const (
	// Answered requests ran, and the whole answer came.
	Answered Outcome = "answered"
	// NotRun requests were refused and did not run.
	NotRun Outcome = "not-run"
	// Unknown requests may have run.
	OutcomeUnknown Outcome = "unknown"
	// Unreached requests met no host.
	Unreachable Outcome = "unreached"
)

// Result is what came of a request.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status; zero without an answer.
	Status int
	// Reason tells why a request was not answered.
	Reason string
	Header http.Header
	Body   []byte
	// Host is the entry host that the request was sent to last.
	Host netip.AddrPort
	// HostsTried counts the hosts that the request was sent to.
	HostsTried int
	Latency    time.Duration
}

// again reports whether the request may be sent to another host.
func (r Result) again(request Request, hasTicket bool) bool {
	switch r.Outcome {
	case Unreachable:
		return true
	case NotRun:
		return r.Status == http.StatusServiceUnavailable
	case OutcomeUnknown:
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
		return r.Outcome == OutcomeUnknown
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
			Outcome: Unreachable,
			Reason:  err.Error(),
		}
	}
	return Result{
		Outcome: OutcomeUnknown,
		Reason:  err.Error(),
	}
}

func read(response *http.Response, body []byte) Result {
	result := Result{
		Outcome: Answered,
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    body,
	}
	if reason := response.Header.Get(header.NotRun); reason != "" {
		result.Outcome = NotRun
		result.Reason = reason
	}
	if reason := response.Header.Get(header.OutcomeUnknown); reason != "" {
		result.Outcome = OutcomeUnknown
		result.Reason = reason
	}
	return result
}

// LookUpError reports that no entry host answered a look-up.
type LookUpError struct {
	// HostsAsked is the number of hosts asked.
	HostsAsked int
	Cause      error
}

func (e *LookUpError) Error() string {
	return fmt.Sprintf("none of %d entry hosts answered the look-up: %v", e.HostsAsked, e.Cause)
}

func (e *LookUpError) Unwrap() error { return e.Cause }
