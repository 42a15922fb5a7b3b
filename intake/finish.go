package intake

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"trefoilline.example/trefoilline/placement"
)

// finish tells the caller how the request ended.
func (c *call) finish(r result) {
	switch r := r.(type) {
	case *answer:
		c.pass(r)
	case *ending:
		c.end(r)
	}
}

// pass passes the backend server's answer on.
func (c *call) pass(a *answer) {
	headers := c.w.Header()
	for name, values := range a.header {
		headers[name] = values
	}
	headers.Set("Content-Length", strconv.Itoa(len(a.body)))
	if _, isDated := headers["Date"]; !isDated {
		// No date of this host's own in place of the server's.
		headers["Date"] = nil
	}
	c.closeIfLeaving()
	c.w.WriteHeader(a.status)
	// A caller that is gone needs no answer.
	_, _ = c.w.Write(a.body)
	c.notePassed(a.status)
}

// closeIfLeaving asks the caller to use another host from now on.
func (c *call) closeIfLeaving() {
	if c.handler.isLeaving() {
		c.w.Header().Set("Connection", "close")
	}
}

// end ends a request without an answer of a backend server.
func (c *call) end(e *ending) {
	if c.isOver() {
		c.noteLeft()
		return
	}
	if !e.mayHaveRun {
		if c.team != nil {
			c.handler.RateLimiter.ReturnToken(c.team.Name)
		}
		c.refuse(e.cause)
		return
	}
	status := http.StatusBadGateway
	if !c.handler.now().Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	c.write(status, 0, e.cause)
}

// refuse says that the request was not run.
func (c *call) refuse(cause error) {
	var overRate *RateLimitError
	var noRoute *NoRouteError
	var unknownKey *UnknownKeyError
	var tooLarge *http.MaxBytesError
	var body *BodyError
	switch {
	case errors.As(cause, &overRate):
		c.write(http.StatusTooManyRequests, overRate.RetryAfter, cause)
	case errors.As(cause, &noRoute):
		c.write(http.StatusNotFound, 0, cause)
	case errors.As(cause, &unknownKey):
		c.write(http.StatusUnauthorized, 0, cause)
	case errors.As(cause, &tooLarge):
		c.write(http.StatusRequestEntityTooLarge, 0, cause)
	case errors.As(cause, &body):
		c.write(http.StatusBadRequest, 0, cause)
	default:
		c.write(http.StatusServiceUnavailable, returnIn(cause), cause)
	}
}

// DefaultRetryAfter is when a caller is asked to come back if nothing better is
// known.
const DefaultRetryAfter = 100 * time.Millisecond

// longestReturn bounds for how long callers are sent away: what is known now does
// not hold for longer.
const longestReturn = 5 * time.Second

// returnIn tells when a request that found no room may find some.
func returnIn(cause error) time.Duration {
	var busy *placement.BusyError
	if errors.As(cause, &busy) {
		return max(busy.RetryAfter, DefaultRetryAfter/2)
	}
	return DefaultRetryAfter
}

// write answers with a status of this host's own.
func (c *call) write(status int, wait time.Duration, cause error) {
	c.closeIfLeaving()
	if wait = min(wait, longestReturn); wait > 0 {
		c.w.Header().Set("Retry-After", c.handler.HeaderCodec.FormatRetryAfter(wait))
	}
	http.Error(c.w, http.StatusText(status), status)
	c.noteEnded(status, wait, cause)
}
