package exchange

import (
	"net/http"
	"net/url"
	"sync"

	"trefoilline.example/trefoilline/header"
)

// Request is one request of a caller. Tries of it go through [Client.Send]; it
// must not be copied after the first.
type Request struct {
	// ID tells the request from all others and goes to the backend server.
	ID     string
	Method string
	// URL has the path and the query; scheme and host are ignored.
	URL *url.URL
	// Host is the host that the caller asked for.
	Host   string
	Header http.Header
	Body   Body
	// APIKey is the key that the caller presented, if any. Whatever holds it is
	// removed, besides all that is known to carry keys.
	APIKey string
	// HeaderOverrides holds headers that the system adds for the next try, in place of the
	// caller's.
	HeaderOverrides http.Header
	// Idempotent requests may run more than once. The zero value may not.
	Idempotent bool
	// ToEntryHost marks a request that goes to another entry host: keys and tickets
	// go along, and the host says what came of the request.
	ToEntryHost bool

	mu sync.Mutex
	// exposed is set when a try may have run.
	exposed bool
	// handedOver counts the tries that may have run.
	handedOver int
	// trying counts the tries that are under way.
	trying int
	// silenced is set when a kept connection swallowed a try.
	silenced bool
}

// FromHTTP returns the request that a caller sent, under the given name, with
// its body as a stream.
func FromHTTP(r *http.Request, name string) *Request {
	request := &Request{
		ID:     name,
		Method: r.Method,
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

// Reject says of a request that it will not be sent, and returns [NotRun], or
// [*Unknown] if an earlier try may have run.
func (r *Request) Reject(reason header.Reason) Outcome {
	if r.MayHaveRun() {
		return r.alreadySent()
	}
	return &unsent{
		reason: reason,
	}
}

// MayHaveRun tells whether a try of the request may have run, or may run yet.
func (r *Request) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exposed || r.trying > 0
}

// PossibleRuns returns how many tries may have run. For a request that may run
// only once it is at most one.
func (r *Request) PossibleRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handedOver
}

// CanResend tells whether a further try can send the whole request again.
func (r *Request) CanResend() bool {
	s, isStream := r.Body.(*Stream)
	return !isStream || !s.spent()
}

// begin notes a try, and reports false if there must be none.
func (r *Request) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.Idempotent && (r.exposed || r.trying > 0) {
		return false
	}
	r.trying++
	return true
}

// finish notes that a try has its outcome.
func (r *Request) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trying--
}

// silence notes that a kept connection swallowed a try.
func (r *Request) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced = true
}

// mayUseKept tells whether the request may go on a connection that was open
// before.
func (r *Request) mayUseKept(evenOnce bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (r.Idempotent || evenOnce) && !r.silenced
}

// expose notes that a try may have run.
func (r *Request) expose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exposed = true
	r.handedOver++
}

// settle turns the outcome of a try into that of the request: a request that
// may have run stays so, whatever a later try says.
func (r *Request) settle(outcome NotRun) Outcome {
	r.mu.Lock()
	exposed := r.exposed || r.trying > 1
	r.mu.Unlock()
	if exposed {
		return r.alreadySent()
	}
	return outcome
}

func (r *Request) alreadySent() Outcome {
	return &Unknown{
		Reason: AlreadySent,
		Cause: &AlreadySentError{
			RequestID: r.ID,
		},
	}
}
