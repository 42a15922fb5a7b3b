package exchange

import (
	"net/http"
	"net/url"
	"sync"

	"trefoilline.example/trefoilline/header"
)

// Request is a caller's request. [Client.Send] makes one attempt to send it. A
// Request must not be copied after the first attempt.
type Request struct {
	// ID identifies the request. It is sent to the backend server in the request
	// ID header, [header.Dialect.RequestID].
	ID     string
	Method string
	// Target is the path and the query as the caller sent them. If it is empty, URL supplies them, whose scheme and host are
	// ignored.
	Target string
	URL    *url.URL
	// Host is the value of the caller's Host header.
	Host   string
	Header http.Header
	Body   Body
	// APIKey is the API key that the caller presented, or empty. Headers,
	// trailers, cookies and query parameters that contain it are not forwarded
	// to a backend server. Neither are, whatever they contain, headers whose
	// name starts with Trefoilline-, query parameters and cookies named
	// trefoilline-key, and Authorization headers with the scheme Bearer.
	// With [header.Dialect.KeepsTargets], the target is forwarded as it is, and of the
	// headers all but that of the key and those that contain it.
	APIKey string
	// HeaderOverrides replaces headers of the caller in the next attempt.
	HeaderOverrides http.Header
	// Idempotent allows the request to run more than once. By default it may
	// run only once.
	Idempotent bool
	// ToEntryHost marks a request that goes to another entry host. API keys and
	// tickets are then forwarded, and a response with the header
	// [header.OutcomeUnknown] gives the outcome [*Unknown].
	ToEntryHost bool
	// OnResponseHeader, if not nil, is called with the status and the headers of each response that has
	// the request's ID, also of one that says that the request was not run, but not of one
	// with status 421, which another server may have sent.
	OnResponseHeader func(status int, header http.Header)

	mu sync.Mutex
	// mayHaveRun is set when possibleRuns becomes positive.
	mayHaveRun bool
	// possibleRuns counts the attempts in which a server may have run the
	// request.
	possibleRuns int
	// activeAttempts counts the attempts without an outcome.
	activeAttempts int
	// reuseForbidden is set when an attempt on a reused connection got no
	// response in time.
	reuseForbidden bool
}

// FromHTTP returns a request with the given ID and the method, URL, host, headers
// and body of r. It shares the URL and the headers with r. The body is a [*Stream].
func FromHTTP(r *http.Request, id string) *Request {
	request := &Request{
		ID:     id,
		Method: r.Method,
		Target: Target(r),
		URL:    r.URL,
		Host:   r.Host,
		Header: r.Header,
	}
	if r.Body != nil && r.Body != http.NoBody {
		request.Body = &Stream{
			Reader:  r.Body,
			Length:  r.ContentLength,
			Trailer: r.Trailer,
		}
	}
	return request
}

// Reject returns the outcome of a request for which no further attempt is made:
// [NotRun] with the reason, or [*Unknown] if [Request.MayHaveRun].
func (r *Request) Reject(reason header.Reason) Outcome {
	if r.MayHaveRun() {
		return r.alreadySentOutcome()
	}
	return &unsent{
		reason: reason,
	}
}

// MayHaveRun reports whether a backend server may have run the request in an
// attempt, or an attempt has no outcome yet.
func (r *Request) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveRun || r.activeAttempts > 0
}

// PossibleRuns returns the number of attempts in which a backend server may have
// run the request. It is at most one for a request that is not idempotent.
func (r *Request) PossibleRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.possibleRuns
}

// CanResend reports whether another attempt can send the request with its full
// body. It is false once an attempt has read from a [*Stream].
func (r *Request) CanResend() bool {
	s, isStream := r.Body.(*Stream)
	return !isStream || !s.isConsumed()
}

// beginAttempt counts an attempt, or returns false if the request must not be
// sent again.
func (r *Request) beginAttempt() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.Idempotent && (r.mayHaveRun || r.activeAttempts > 0) {
		return false
	}
	r.activeAttempts++
	return true
}

// endAttempt counts an attempt as ended.
func (r *Request) endAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeAttempts--
}

// forbidReuse makes later attempts use new connections.
func (r *Request) forbidReuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reuseForbidden = true
}

// canReuseConnection reports whether the next attempt may use a connection that
// is already open. A non-idempotent request may only if allowNonIdempotent is set.
func (r *Request) canReuseConnection(allowNonIdempotent bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (r.Idempotent || allowNonIdempotent) && !r.reuseForbidden
}

// recordPossibleRun records that a backend server may have run the request in an
// attempt.
func (r *Request) recordPossibleRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayHaveRun = true
	r.possibleRuns++
}

// requestOutcome returns the outcome of the request after an attempt with the
// outcome NotRun. It is [*Unknown] if a backend server may have run the request in
// another attempt, or another attempt is still active.
func (r *Request) requestOutcome(attemptOutcome NotRun) Outcome {
	r.mu.Lock()
	mayHaveRun := r.mayHaveRun || r.activeAttempts > 1
	r.mu.Unlock()
	if mayHaveRun {
		return r.alreadySentOutcome()
	}
	return attemptOutcome
}

func (r *Request) alreadySentOutcome() Outcome {
	return &Unknown{
		Reason: AlreadySent,
		Cause: &AlreadySentError{
			RequestID: r.ID,
		},
	}
}
