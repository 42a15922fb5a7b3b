package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/placement"
)

// result is how a request ends: [*response] or [*failure].
type result interface{ result() }

// response is a backend server's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// failure is the end of a request without a complete response.
type failure struct {
	cause error
	// mayHaveRun is true if a backend server may have run the request.
	mayHaveRun bool
}

func (*response) result() {}
func (*failure) result()  {}

// maxAttempts is the largest number of times that a request is sent, even if no server
// ran it.
const maxAttempts = 4

// forward sends the request to one backend server after another until one has responded
// or a limit is reached, and returns the result of the last attempt.
func (c *call) forward() result {
	var last result
	c.handler.RetryBudget.RecordRequest(c.service)
	for {
		if detector := c.crashDetector(); detector != nil && detector.Refuses(c.request) {
			return c.resultOrFailure(last, &CrashingRequestError{})
		}
		queuedAt := c.handler.now()
		reservation, err := c.handler.Pool.Acquire(c.ctx, c.placementRequest())
		c.queueTime += c.handler.now().Sub(queuedAt)
		if err != nil {
			return c.resultOrFailure(last, err)
		}
		last = c.attempt(reservation)
		if !c.shouldRetry(last) {
			return last
		}
	}
}

// resultOrFailure returns the result of the last attempt, or a failure with the cause if
// there was no attempt.
func (c *call) resultOrFailure(last result, cause error) result {
	if last != nil {
		return last
	}
	return &failure{
		cause:      cause,
		mayHaveRun: c.request.MayHaveRun(),
	}
}

// attempt sends the request once to the backend server of the reservation, and tells the
// pool how the server did.
func (c *call) attempt(reservation *placement.Reservation) result {
	server := reservation.Server
	c.triedServers = append(c.triedServers, server.Name)
	c.lastRegion = server.Region
	c.request.HeaderOverrides = http.Header{}
	c.request.HeaderOverrides.Set(c.handler.HeaderCodec.TargetServer, server.Name)
	if c.team != nil {
		c.request.HeaderOverrides.Set(c.handler.HeaderCodec.Team, c.team.Name)
	}
	sentAt := c.handler.now()
	outcome := c.handler.Client.Send(c.ctx, server.Address, c.request)
	attemptResult, serverOutcome := c.handleOutcome(outcome, reservation, sentAt)
	c.handler.Pool.Done(reservation, serverOutcome)
	return attemptResult
}

// handleOutcome turns the outcome of an attempt into the result for the caller, and into
// the outcome that the pool uses to judge the backend server.
func (c *call) handleOutcome(outcome exchange.Outcome, reservation *placement.Reservation, sentAt time.Time) (result, placement.Outcome) {
	switch o := outcome.(type) {
	case *exchange.Response:
		return c.readResponse(o, reservation, sentAt)
	case exchange.NotRun:
		return &failure{
			cause: &NotRunError{
				Server: reservation.Server.Name,
				Reason: o.Reason(),
				Cause:  o.Cause(),
			},
		}, c.notRunOutcome(o)
	case *exchange.Unknown:
		return c.handleUnknown(o, reservation)
	}
	return &failure{
		cause: &UnknownOutcomeError{},
	}, placement.Inconclusive{}
}

// handleUnknown handles an attempt without a response that the server may have run.
func (c *call) handleUnknown(o *exchange.Unknown, reservation *placement.Reservation) (result, placement.Outcome) {
	c.possibleRuns++
	var serverOutcome placement.Outcome = placement.NoResponse{}
	switch {
	case o.Reason == exchange.Cancelled:
		serverOutcome = placement.Inconclusive{}
	case o.Reason == exchange.DeadlineExceeded:
		// The server is not unhealthy because a request left it little time.
		serverOutcome = placement.DeadlineExceeded{}
	case o.Reason == exchange.ConnectionBroken && c.crashDetector() != nil:
		c.crashDetector().Lost(c.request, reservation.Server.Address)
	}
	return &failure{
		cause: &UnknownOutcomeError{
			Server: reservation.Server.Name,
			Reason: o.Reason,
			Cause:  o.Cause,
		},
		mayHaveRun: true,
	}, serverOutcome
}

// notRunOutcome returns the outcome by which the pool judges a server that did not run the
// request.
func (c *call) notRunOutcome(o exchange.NotRun) placement.Outcome {
	switch {
	case o.Reason() == exchange.Misdirected:
		return placement.Misdirected{}
	case o.RefusedByServer():
		return placement.Shed{}
	case o.Reason() == exchange.Unreachable, o.Reason() == exchange.NotSent:
		return placement.NoResponse{}
	}
	return placement.Inconclusive{}
}

// readResponse reads the whole body of the response into memory, and checks that the
// response is complete and, if its status is 2xx, that it has the seal header.
func (c *call) readResponse(o *exchange.Response, reservation *placement.Reservation, sentAt time.Time) (result, placement.Outcome) {
	defer o.Close()
	c.possibleRuns++
	body, err := io.ReadAll(o)
	if err == nil && o.Status/100 == 2 && o.Header.Get(c.handler.HeaderCodec.ResponseSeal) == "" {
		err = &MissingSealError{}
	}
	if err != nil {
		return c.handleIncomplete(o, reservation, err)
	}
	if c.crashDetector() != nil {
		c.crashDetector().Answered(c.request)
	}
	return &response{
			status: o.Status,
			header: o.Header,
			body:   body,
		}, placement.Responded{
			Latency:     c.handler.now().Sub(sentAt),
			ServerError: o.Status/100 == 5,
			Load:        c.handler.HeaderCodec.ReadLoad(o.Header),
		}
}

// handleIncomplete handles a response that is incomplete or has no seal header.
func (c *call) handleIncomplete(o *exchange.Response, reservation *placement.Reservation, err error) (result, placement.Outcome) {
	var serverOutcome placement.Outcome = placement.InvalidResponse{}
	if c.ctx.Err() != nil {
		serverOutcome = placement.Inconclusive{}
	} else if o.BrokenByServer() && c.crashDetector() != nil {
		c.crashDetector().Lost(c.request, reservation.Server.Address)
	}
	return &failure{
		cause: &UnknownOutcomeError{
			Server: reservation.Server.Name,
			Reason: exchange.ConnectionBroken,
			Cause:  err,
		},
		mayHaveRun: true,
	}, serverOutcome
}

// shouldRetry decides whether the request is sent again, and takes the retry from the
// budget if it needs one.
func (c *call) shouldRetry(last result) bool {
	if c.ctx.Err() != nil || len(c.triedServers) >= maxAttempts || c.possibleRuns >= c.route.MaxServers || !c.request.CanResend() {
		return false
	}
	switch r := last.(type) {
	case *response:
		return c.request.Idempotent && r.status/100 == 5 && c.handler.RetryBudget.AllowRetry(c.service)
	case *failure:
		if r.mayHaveRun && !c.request.Idempotent {
			return false
		}
		return isUnsent(r.cause) || c.handler.RetryBudget.AllowRetry(c.service)
	}
	return false
}

// isUnsent reports whether the attempt failed before the request reached a backend
// server. Such an attempt cost no server any work, so that its retry needs no budget.
func isUnsent(cause error) bool {
	var notRun *NotRunError
	return errors.As(cause, &notRun) && notRun.Cause != nil
}

// isCallerGone reports whether the caller closed its connection or cancelled the
// request.
func (c *call) isCallerGone() bool {
	return errors.Is(c.r.Context().Err(), context.Canceled)
}
