package bufferproxy

import (
	"context"
	"errors"
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
	body   *responseBody
}

// failure is the end of a request without a complete response.
type failure struct {
	cause error
	// mayHaveRun is true if a backend server may have run the request.
	mayHaveRun bool
}

func (*response) result() {}
func (*failure) result()  {}

// maxAttempts limits the attempts to send a request, including attempts in which no server
// ran it.
const maxAttempts = 4

// obtainResult has a backend server run the request: one that this host reaches, or if it reaches
// none, one that another host does. A request that the other hosts turn away is rejected at once.
func (s *requestState) obtainResult() result {
	if s.handler.Pool.IsCutOff() {
		if forwarded := s.forwardToHosts(); forwarded != nil {
			return forwarded
		}
	}
	last := s.forward()
	if s.couldHaveRunElsewhere(last) {
		if forwarded := s.forwardToHosts(); forwarded != nil {
			return forwarded
		}
	}
	return last
}

// forward sends the request to one backend server after another until shouldRetry ends
// the attempts, no server is available, or the crash detector says to reject the request.
// It returns the result of the last attempt.
func (s *requestState) forward() result {
	var last result
	s.handler.RetryBudget.RecordRequest(s.service)
	for {
		if detector := s.crashDetector(); detector != nil && detector.ShouldReject(s.serverRequest) {
			return s.resultOrFailure(last, &CrashingRequestError{})
		}
		if s.handler.rejectsUpload(s) {
			return s.resultOrFailure(last, &UploadsStalledError{})
		}
		queuedAt := s.handler.now()
		reservation, err := s.handler.Pool.Acquire(s.ctx, s.placementRequest())
		s.queueTime += s.handler.now().Sub(queuedAt)
		s.recordPlacement(reservation, err)
		var busy *placement.BusyError
		if isBusy := errors.As(err, &busy); isBusy || err == nil && reservation.QueueTime > 0 {
			s.handler.uploadSlots.recordShortage(s.service, isBusy, queuedAt)
		}
		if err != nil {
			return s.resultOrFailure(last, err)
		}
		last = s.sendOnce(reservation)
		if !s.shouldRetry(last) {
			return last
		}
	}
}

// resultOrFailure returns the result of the last attempt, or a failure with the cause if
// there was no attempt.
func (s *requestState) resultOrFailure(last result, cause error) result {
	if last != nil {
		return last
	}
	return &failure{
		cause:      cause,
		mayHaveRun: s.serverRequest.MayHaveRun(),
	}
}

// sendOnce sends the request once to the backend server of the reservation, releases the
// reservation, and reports the outcome to the pool.
func (s *requestState) sendOnce(reservation *placement.Reservation) result {
	server := reservation.Server
	s.triedServers = append(s.triedServers, server.Name)
	s.lastRegion = server.Region
	s.serverRequest.HeaderOverrides = http.Header{}
	s.serverRequest.HeaderOverrides.Set(s.handler.HeaderCodec.TargetServer, server.Name)
	if s.team != nil {
		s.serverRequest.HeaderOverrides.Set(s.handler.HeaderCodec.Team, s.team.Name)
	}
	s.serverRequest.OnResponseHeader = func(status int, h http.Header) { s.recordStatements(reservation, status, h) }
	defer s.handler.occupySlot(s)()
	sentAt := s.handler.now()
	outcome := s.handler.Client.Send(s.ctx, server.Address, s.serverRequest)
	attemptResult, serverOutcome := s.handleOutcome(outcome, reservation, sentAt)
	s.handler.Pool.Release(reservation, serverOutcome)
	return attemptResult
}

// handleOutcome turns the outcome of an attempt into the result for the caller, and into
// the outcome that the pool uses to judge the backend server.
func (s *requestState) handleOutcome(outcome exchange.Outcome, reservation *placement.Reservation, sentAt time.Time) (result, placement.Outcome) {
	switch o := outcome.(type) {
	case *exchange.Response:
		return s.readResponse(o, reservation, sentAt)
	case exchange.NotRun:
		return &failure{
			cause: &NotRunError{
				Server: reservation.Server.Name,
				Reason: o.Reason(),
				Cause:  o.Cause(),
			},
		}, s.notRunOutcome(o)
	case *exchange.Unknown:
		return s.handleUnknown(o, reservation)
	}
	// Not reached: exchange.Outcome has no other implementations.
	return &failure{
		cause: &UnknownOutcomeError{},
	}, placement.Inconclusive{}
}

// handleUnknown handles an attempt without a response that the server may have run.
func (s *requestState) handleUnknown(o *exchange.Unknown, reservation *placement.Reservation) (result, placement.Outcome) {
	s.possibleRuns++
	var serverOutcome placement.Outcome = placement.NoResponse{}
	switch {
	case o.Reason == exchange.Cancelled:
		serverOutcome = placement.Inconclusive{}
	case o.Reason == exchange.DeadlineExceeded:
		// The server is not unhealthy because a request left it little time.
		serverOutcome = placement.DeadlineExceeded{}
	case o.Reason == exchange.ConnectionBroken && s.crashDetector() != nil:
		s.crashDetector().RecordBrokenConnection(s.serverRequest, reservation.Server.Address)
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
func (s *requestState) notRunOutcome(o exchange.NotRun) placement.Outcome {
	switch {
	case o.Reason() == exchange.Misdirected:
		return placement.Misdirected{}
	case o.RefusedByServer():
		return placement.Refused{}
	case o.Reason() == exchange.Unreachable, o.Reason() == exchange.NotSent:
		return placement.NoResponse{}
	}
	return placement.Inconclusive{}
}

// readResponse reads the response of a backend server.
func (s *requestState) readResponse(o *exchange.Response, reservation *placement.Reservation, sentAt time.Time) (result, placement.Outcome) {
	defer o.Close()
	s.possibleRuns++
	complete, err := s.readComplete(o)
	if err != nil {
		return s.handleInvalidResponse(o, reservation, err)
	}
	if s.crashDetector() != nil {
		s.crashDetector().RecordResponse(s.serverRequest)
	}
	return complete, placement.Responded{
		Latency:     s.handler.now().Sub(sentAt),
		ServerError: o.Status/100 == 5,
		Load:        s.handler.HeaderCodec.ReadLoad(o.Header),
	}
}

// readComplete reads the whole body of a response into memory. It returns an error if the response
// is incomplete, or has a status 2xx and lacks the header that marks it as complete.
func (s *requestState) readComplete(o *exchange.Response) (*response, error) {
	body, err := s.readResponseBody(o, o.Header, o.Length)
	if err != nil {
		return nil, err
	}
	if o.Status/100 == 2 && o.Header.Get(s.handler.HeaderCodec.CompleteMarker) == "" {
		return nil, &MissingCompleteMarkerError{}
	}
	return &response{
		status: o.Status,
		header: o.Header,
		body:   body,
	}, nil
}

// handleInvalidResponse handles a response that is incomplete or is not marked as complete.
// In both cases the error gets the reason [exchange.ConnectionBroken], although the response
// had started.
func (s *requestState) handleInvalidResponse(o *exchange.Response, reservation *placement.Reservation, err error) (result, placement.Outcome) {
	var serverOutcome placement.Outcome = placement.InvalidResponse{}
	var noMemory *ResponseMemoryError
	if s.ctx.Err() != nil || errors.As(err, &noMemory) {
		serverOutcome = placement.Inconclusive{}
	} else if o.BrokenByServer() && s.crashDetector() != nil {
		s.crashDetector().RecordBrokenConnection(s.serverRequest, reservation.Server.Address)
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
func (s *requestState) shouldRetry(last result) bool {
	if s.ctx.Err() != nil || len(s.triedServers) >= maxAttempts || s.possibleRuns >= s.route.MaxServers || !s.serverRequest.CanResend() {
		return false
	}
	switch r := last.(type) {
	case *response:
		return s.serverRequest.Idempotent && r.status/100 == 5 && s.handler.RetryBudget.AllowRetry(s.service)
	case *failure:
		if r.mayHaveRun && !s.serverRequest.Idempotent {
			return false
		}
		return isUnsent(r.cause) || s.handler.RetryBudget.AllowRetry(s.service)
	}
	return false
}

// isUnsent reports whether the attempt failed before the request reached a backend
// server. Such an attempt cost no server any work, so that its retry needs no budget. A
// NotRunError has a Cause in this case, and none if the server itself refused the request.
func isUnsent(cause error) bool {
	var notRun *NotRunError
	return errors.As(cause, &notRun) && notRun.Cause != nil
}

// isCancelledByCaller reports whether the caller closed its connection or cancelled the
// request.
func (s *requestState) isCancelledByCaller() bool {
	return errors.Is(s.callerRequest.Context().Err(), context.Canceled)
}
