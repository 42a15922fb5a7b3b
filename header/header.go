/*
Package header names the HTTP headers, query parameter and cookie that callers,
entry hosts and backend servers exchange.

# Usage

	response.Header().Set(header.NotRun, string(header.Draining))
	timeout, err := header.ParseDeadline(request.Header.Get(header.Deadline))
*/
package header

// The headers.
const (
	// APIKey carries the caller's key. "Authorization: Bearer" does as well. It
	// never reaches a backend server.
	APIKey = "Trefoilline-Key"
	// Ticket carries the name under which a request runs at most once. It
	// never reaches a backend server.
	Ticket = "Trefoilline-Ticket"
	// RequestID carries the request's name to the backend server, which echoes it
	// in its answer.
	RequestID = "Trefoilline-Request"
	// Timeout carries the time left for the request as a Go duration.
	Timeout = "Trefoilline-Deadline"
	// NotRun says that the request was not run, and holds a [Reason].
	NotRun = "Trefoilline-Not-Run"
	// OutcomeUnknown is set by an entry host when the request may have run, and holds
	// a [Reason].
	OutcomeUnknown = "Trefoilline-Outcome-Unknown"
	// ForwardedBy names the entry host that passed the request on, so that it is
	// passed on only once.
	ForwardedBy = "Trefoilline-Passed-By"
	// IdempotencyKey carries a caller's own name for a request.
	IdempotencyKey = "Idempotency-Key"
	// XIdempotencyKey is the older spelling of [IdempotencyKey].
	XIdempotencyKey = "X-Idempotency-Key"
)

// APIKeyParameter is the query parameter, and APIKeyCookie the cookie, that may carry
// the caller's key.
const (
	APIKeyParameter = "trefoilline-key"
	APIKeyCookie    = "trefoilline-key"
)

// Reason says in kebab case why a request was not run, or why its outcome is
// unknown.
type Reason string

// The reasons that a backend server gives.
const (
	Draining Reason = "draining"
	Shed     Reason = "shed"
)
