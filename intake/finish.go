package intake

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"trefoilline.example/trefoilline/placement"
)

// finish writes the result of the request to the caller.
func (c *call) finish(r result) {
	switch r := r.(type) {
	case *response:
		c.writeResponse(r)
	case *failure:
		c.writeFailure(r)
	}
}

// writeResponse passes the backend server's response on to the caller.
func (c *call) writeResponse(resp *response) {
	headers := c.w.Header()
	for name, values := range resp.header {
		headers[name] = values
	}
	headers.Set("Content-Length", strconv.Itoa(len(resp.body)))
	if _, hasDate := headers["Date"]; !hasDate {
		// This keeps net/http from adding a date where the server sent none.
		headers["Date"] = nil
	}
	c.closeIfDraining()
	c.w.WriteHeader(resp.status)
	// A write error means that the caller is gone, and nothing else can be told to it.
	_, _ = c.w.Write(resp.body)
	c.recordResponse(resp.status)
}

// closeIfDraining closes the caller's connection after this response if this host is
// draining, so that the caller sends its next requests to another host.
func (c *call) closeIfDraining() {
	if c.handler.isDraining() {
		c.w.Header().Set("Connection", "close")
	}
}

// writeFailure tells the caller that there is no response of a backend server. If the
// request was not run, the team gets its rate token back.
func (c *call) writeFailure(f *failure) {
	if c.isCallerGone() {
		c.recordCallerGone()
		return
	}
	if !f.mayHaveRun {
		if c.team != nil {
			c.handler.RateLimiter.ReturnToken(c.team.Name)
		}
		c.reject(f.cause)
		return
	}
	status := http.StatusBadGateway
	if !c.handler.now().Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	c.writeStatus(status, 0, f.cause)
}

// reject tells the caller that the request was not run and never will be.
func (c *call) reject(cause error) {
	var rateLimit *RateLimitError
	var noRoute *NoRouteError
	var unknownKey *UnknownKeyError
	var tooLarge *http.MaxBytesError
	var body *BodyError
	switch {
	case errors.As(cause, &rateLimit):
		c.writeStatus(http.StatusTooManyRequests, rateLimit.RetryAfter, cause)
	case errors.As(cause, &noRoute):
		c.writeStatus(http.StatusNotFound, 0, cause)
	case errors.As(cause, &unknownKey):
		c.writeStatus(http.StatusUnauthorized, 0, cause)
	case errors.As(cause, &tooLarge):
		c.writeStatus(http.StatusRequestEntityTooLarge, 0, cause)
	case errors.As(cause, &body):
		c.writeStatus(http.StatusBadRequest, 0, cause)
	default:
		c.writeStatus(http.StatusServiceUnavailable, retryAfter(cause), cause)
	}
}

// DefaultRetryAfter is the time after which a caller is asked to retry if there is no
// better estimate.
const DefaultRetryAfter = 100 * time.Millisecond

// maxRetryAfter is the longest time after which a caller is asked to retry. What the
// host knows now of the load does not hold for longer.
const maxRetryAfter = 5 * time.Second

// retryAfter estimates the time until a request that got no slot on a backend server may
// get one.
func retryAfter(cause error) time.Duration {
	var busy *placement.BusyError
	if errors.As(cause, &busy) {
		return max(busy.RetryAfter, DefaultRetryAfter/2)
	}
	return DefaultRetryAfter
}

// writeStatus responds with a status that this host sets itself, and a Retry-After header
// if the wait is positive.
func (c *call) writeStatus(status int, wait time.Duration, cause error) {
	c.closeIfDraining()
	if wait = min(wait, maxRetryAfter); wait > 0 {
		c.w.Header().Set("Retry-After", c.handler.HeaderCodec.FormatRetryAfter(wait))
	}
	http.Error(c.w, http.StatusText(status), status)
	c.recordHostStatus(status, wait, cause)
}
