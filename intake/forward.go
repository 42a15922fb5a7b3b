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

// result is how a request ends: [*answer] or [*ending].
type result interface{ result() }

// answer is a backend server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ending is the end of a request without an answer.
type ending struct {
	// cause is why.
	cause error
	// mayHaveRun tells that a backend server may have run it.
	mayHaveRun bool
}

func (*answer) result() {}
func (*ending) result() {}

// mostSends bounds how often one request is sent, also where no server ran it.
const mostSends = 4

// forward sends the request until a backend server has answered it or the limits
// are reached.
func (c *call) forward() result {
	var last result
	c.handler.RetryBudget.RecordRequest(c.service)
	for {
		if s := c.suspects(); s != nil && s.Refuses(c.request) {
			return c.orElse(last, &CrashingRequestError{})
		}
		began := c.handler.now()
		reservation, err := c.handler.Pool.Acquire(c.ctx, c.want())
		c.waited += c.handler.now().Sub(began)
		if err != nil {
			return c.orElse(last, err)
		}
		last = c.send(reservation)
		if !c.again(last) {
			return last
		}
	}
}

// orElse returns the result of the last send, or ends a request that had none.
func (c *call) orElse(last result, cause error) result {
	if last != nil {
		return last
	}
	return &ending{
		cause:      cause,
		mayHaveRun: c.request.MayHaveRun(),
	}
}

// send sends the request once to the backend server of the reservation.
func (c *call) send(reservation *placement.Reservation) result {
	server := reservation.Server
	c.met = append(c.met, server.Name)
	c.region = server.Region
	c.request.HeaderOverrides = http.Header{}
	c.request.HeaderOverrides.Set(c.handler.HeaderCodec.TargetServer, server.Name)
	if c.team != nil {
		c.request.HeaderOverrides.Set(c.handler.HeaderCodec.Team, c.team.Name)
	}
	began := c.handler.now()
	outcome := c.handler.Client.Send(c.ctx, server.Address, c.request)
	made, evidence := c.judge(outcome, reservation, began)
	c.handler.Pool.Release(reservation, evidence)
	return made
}

// judge turns the outcome of a send into a result and what it says of the backend
// server.
func (c *call) judge(outcome exchange.Outcome, reservation *placement.Reservation, began time.Time) (result, placement.Outcome) {
	switch o := outcome.(type) {
	case *exchange.Response:
		return c.read(o, reservation, began)
	case exchange.NotRun:
		return &ending{
			cause: &NotRunError{
				Server: reservation.Server.Name,
				Reason: o.Reason(),
				Cause:  o.Cause(),
			},
		}, c.notRunEvidence(o)
	case *exchange.Unknown:
		return c.unknown(o, reservation)
	}
	return &ending{
		cause: &UnknownOutcomeError{},
	}, placement.Inconclusive{}
}

// unknown is the result of a send that may have run.
func (c *call) unknown(o *exchange.Unknown, reservation *placement.Reservation) (result, placement.Outcome) {
	c.ran++
	var evidence placement.Outcome = placement.NoResponse{}
	switch {
	case o.Reason == exchange.Cancelled:
		evidence = placement.Inconclusive{}
	case o.Reason == exchange.DeadlineExceeded:
		// A server that is given little time is not ill.
		evidence = placement.DeadlineExceeded{}
	case o.Reason == exchange.ConnectionBroken && c.suspects() != nil:
		c.suspects().Lost(c.request, reservation.Server.Address)
	}
	return &ending{
		cause: &UnknownOutcomeError{
			Server: reservation.Server.Name,
			Reason: o.Reason,
			Cause:  o.Cause,
		},
		mayHaveRun: true,
	}, evidence
}

func (c *call) notRunEvidence(o exchange.NotRun) placement.Outcome {
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

// read reads the whole answer.
func (c *call) read(o *exchange.Response, reservation *placement.Reservation, began time.Time) (result, placement.Outcome) {
	defer o.Close()
	c.ran++
	body, err := io.ReadAll(o)
	if err == nil && o.Status/100 == 2 && o.Header.Get(c.handler.HeaderCodec.ResponseSeal) == "" {
		err = &MissingSealError{}
	}
	if err != nil {
		return c.broken(o, reservation, err)
	}
	if c.suspects() != nil {
		c.suspects().Answered(c.request)
	}
	return &answer{
			status: o.Status,
			header: o.Header,
			body:   body,
		}, placement.Responded{
			Latency:     c.handler.now().Sub(began),
			ServerError: o.Status/100 == 5,
			Load:        c.handler.HeaderCodec.ReadLoad(o.Header),
		}
}

// broken is the result of an answer that is not whole.
func (c *call) broken(o *exchange.Response, reservation *placement.Reservation, err error) (result, placement.Outcome) {
	var evidence placement.Outcome = placement.InvalidResponse{}
	if c.ctx.Err() != nil {
		evidence = placement.Inconclusive{}
	} else if o.BrokenByServer() && c.suspects() != nil {
		c.suspects().Lost(c.request, reservation.Server.Address)
	}
	return &ending{
		cause: &UnknownOutcomeError{
			Server: reservation.Server.Name,
			Reason: exchange.ConnectionBroken,
			Cause:  err,
		},
		mayHaveRun: true,
	}, evidence
}

// again decides whether the request is sent once more.
func (c *call) again(last result) bool {
	if c.ctx.Err() != nil || len(c.met) >= mostSends || c.ran >= c.route.MaxServers || !c.request.CanResend() {
		return false
	}
	switch r := last.(type) {
	case *answer:
		return c.request.Idempotent && r.status/100 == 5 && c.handler.RetryBudget.AllowRetry(c.service)
	case *ending:
		if r.mayHaveRun && !c.request.Idempotent {
			return false
		}
		return isFree(r.cause) || c.handler.RetryBudget.AllowRetry(c.service)
	}
	return false
}

// isFree tells whether the send reached no backend server.
func isFree(cause error) bool {
	var notRun *NotRunError
	return errors.As(cause, &notRun) && notRun.Cause != nil
}

// isOver tells whether the caller is gone.
func (c *call) isOver() bool {
	return errors.Is(c.r.Context().Err(), context.Canceled)
}
