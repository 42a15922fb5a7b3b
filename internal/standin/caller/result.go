package caller

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/dedup"
	"trefoilline.example/trefoilline/header"
)

// Outcome is what the caller knows about whether its request ran.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the request ran and its response arrived completely.
	Answered Outcome = "answered"
	// NotRun means that the request was rejected before it ran.
	NotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// Unreachable means that no connection could be made to the last host tried,
	// or that no look-up succeeded.
	Unreachable Outcome = "unreached"
)

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status; zero if no response arrived.
	Status int
	// Reason is why the request was not answered, or that it could not be
	// written to the trace.
	Reason string
	Header http.Header
	Body   []byte
	// Host is the entry host of the last attempt.
	Host netip.AddrPort
	// HostsTried is the number of hosts that the caller tried to send the request
	// to. It is zero if the last attempt was made with a replaced ticket.
	HostsTried int
	Latency    time.Duration
}

// canRetry reports whether the request may be sent to another host.
func (r Result) canRetry(request Request, hasTicket bool) bool {
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

// isTicketUnusable reports whether the entry host did not run this attempt because
// it could not check the ticket: the issuing host is gone or unreachable, or the
// ticket expired. The outcome is still unknown then, because an earlier attempt
// with the ticket may have run.
func (r Result) isTicketUnusable() bool {
	switch header.Reason(r.Reason) {
	case dedup.IssuerNotAvailable, dedup.IssuerUnreachable, dedup.TicketExpired:
		return r.Outcome == OutcomeUnknown
	default:
		return false
	}
}

// transportErrorResult returns the result of a request that failed with an error
// of the HTTP transport. If no connection was made, the request was not sent;
// otherwise it may have run.
func transportErrorResult(err error) Result {
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

// responseResult returns the result of a request that got a response. The headers
// Trefoilline-Not-Run and Trefoilline-Outcome-Unknown mean that it was not
// answered.
func responseResult(response *http.Response, body []byte) Result {
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

// LookUpError reports that no entry host answered a look-up with at least one
// host.
type LookUpError struct {
	// HostsCalled is the number of hosts asked.
	HostsCalled int
	Cause       error
}

func (e *LookUpError) Error() string {
	return fmt.Sprintf("none of %d entry hosts answered the look-up: %v", e.HostsCalled, e.Cause)
}

func (e *LookUpError) Unwrap() error { return e.Cause }
