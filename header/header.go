/*
Package header defines the names and value formats of the HTTP headers, the query
parameter and the cookie that callers, entry hosts and backend servers exchange.
The request path of an entry host reads them from callers' requests and sets them
on requests to backend servers and on responses to callers.

# Usage

	response.Header().Set(header.NotRun, string(header.Draining))
	timeout, err := header.ParseTimeout(request.Header.Get(header.Timeout))
*/
package header

// The names of the headers.
const (
	// APIKey carries the caller's API key. Callers may use "Authorization: Bearer"
	// instead. The key is never sent to a backend server.
	APIKey = "Trefoilline-Key"
	// Ticket carries a one-time token that an entry host issued to the caller beforehand.
	// A request with a ticket runs at most once, even if the caller sends it again:
	// only the host that issued the ticket admits it. It is never sent to a backend
	// server. See package ticket.
	Ticket = "Trefoilline-Ticket"
	// RequestID carries the ID of the request to the backend server, which echoes
	// it in the response.
	RequestID = "Trefoilline-Request"
	// Timeout carries the time that is left for the request, as a Go duration.
	Timeout = "Trefoilline-Deadline"
	// NotRun is set in a response to a request that was not run. Its value is a
	// [Reason].
	NotRun = "Trefoilline-Not-Run"
	// OutcomeUnknown is set by an entry host in a response to a request that may
	// have run. Its value is a [Reason].
	OutcomeUnknown = "Trefoilline-Outcome-Unknown"
	// ForwardedBy carries the name of the entry host that forwarded the request to
	// another entry host. A request that has this header is not forwarded again.
	ForwardedBy = "Trefoilline-Passed-By"
	// IdempotencyKey carries an ID that the caller chose for the request. A request
	// with such a key also runs at most once: the first host that gets it claims the
	// key in the platform's store. See package dedup.
	IdempotencyKey = "Idempotency-Key"
	// XIdempotencyKey is the older spelling of [IdempotencyKey].
	XIdempotencyKey = "X-Idempotency-Key"
)

// APIKeyParameter and APIKeyCookie are the names of the query parameter and the
// cookie in which a caller may send its API key in place of the header.
const (
	APIKeyParameter = "trefoilline-key"
	APIKeyCookie    = "trefoilline-key"
)

// Reason states, in kebab case, why a request was not run or why its outcome is
// unknown.
type Reason string

// The reasons that a backend server gives for not running a request.
const (
	// Draining means that the backend server is shutting down and takes no new
	// requests.
	Draining Reason = "draining"
	// Shed means that the backend server refused the request to reduce its load.
	Shed Reason = "shed"
)
