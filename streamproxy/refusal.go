package streamproxy

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/queue"
	"trefoilline.example/trefoilline/steer"
)

// The reasons of error responses that this package itself determines. Reasons of packages
// admission, exchange and retry are passed on as they are.
const (
	// Starting: this host has no table yet.
	Starting header.Reason = "starting"
	// NoRoute: no route matches the path.
	NoRoute header.Reason = "no-route"
	// NoKey: the request has no API key.
	NoKey header.Reason = "no-key"
	// MalformedKey: the API key does not have the format of one.
	MalformedKey header.Reason = "malformed-key"
	// UnknownKey: no team has the API key.
	UnknownKey header.Reason = "unknown-key"
	// WithdrawnKey: the API key was withdrawn.
	WithdrawnKey header.Reason = "withdrawn-key"
	// KeysUnconfirmed: this host's copy of the API keys is too old to exclude withdrawn
	// keys.
	KeysUnconfirmed header.Reason = "keys-unconfirmed"
	// UnknownTeam: the team of the API key is not in the table.
	UnknownTeam header.Reason = "unknown-team"
	// RateLimitExceeded: the team exceeds its rate and burst.
	RateLimitExceeded header.Reason = "over-rate"
	// RateUnconfirmed: this host's share of the team's rate may have been assigned to
	// another host since.
	RateUnconfirmed header.Reason = "rate-unconfirmed"
	// QueueFull: too many requests of the team wait for a slot already.
	QueueFull header.Reason = "queue-full"
	// DeadlineUnmet: the request is not expected to end by its deadline, because of
	// the time that it would wait for a slot.
	DeadlineUnmet header.Reason = "deadline-unmet"
	// EndedWhileQueued: the caller cancelled the request, or its deadline passed, while it
	// waited for a slot.
	EndedWhileQueued header.Reason = "cancelled"
	// NoServer: no region has a usable backend server with a free slot for the request.
	NoFreeServer header.Reason = "no-server"
	// LimitReached: the rate limit of the link to the chosen region, or of the traffic
	// shifts over that link, is exhausted.
	LinkLimitExceeded header.Reason = "limit-reached"
	// InvalidTimeout: the header [header.Timeout] is malformed.
	InvalidTimeout header.Reason = "bad-deadline"
	// UnreadableBody: the request's body could not be read.
	UnreadableBody header.Reason = "bad-body"
	// UnclassifiedError: an error of any other type. The request may have run.
	UnclassifiedError header.Reason = "failed"
	// ResponseIncomplete: the backend server's response was incomplete. It is only
	// counted, because the caller's connection is broken.
	ResponseIncomplete header.Reason = "broken-answer"
	// CallerDisconnected: the response could not be written to the caller. It is only
	// counted.
	CallerDisconnected header.Reason = "caller-gone"
)

// ErrorResponse is the JSON body of a response that an entry host itself gives, when there
// is no response of a backend server.
type ErrorResponse struct {
	Reason header.Reason `json:"reason"`
	// Ran is "no" for a request that was not run, "yes" for one that ran when it
	// was sent before, and "unknown" for one that may have run.
	Ran string `json:"ran"`
	// Detail describes the error for people.
	Detail string `json:"detail"`
	// RequestID is the ID of the request, which is also in the logs.
	RequestID string `json:"request"`

	// status is the HTTP status.
	status int
	// retryAfter is the time in the header Retry-After, which is left out if it is zero.
	retryAfter time.Duration
	// outcomeUnknown selects the header [header.OutcomeUnknown] instead of
	// [header.NotRun]. It is also set for a request that ran when the caller sent it
	// before, since this response does not tell what the outcome was.
	outcomeUnknown bool
}

// The values of [ErrorResponse.Ran].
const (
	ranNo      = "no"
	ranYes     = "yes"
	ranUnknown = "unknown"
)

// write sends the response to the caller.
func (r ErrorResponse) write(w http.ResponseWriter) {
	headers := w.Header()
	headers.Set("Content-Type", "application/json")
	headers.Set("Cache-Control", "no-store")
	headers.Set(header.RequestID, r.RequestID)
	if r.outcomeUnknown {
		headers.Set(header.OutcomeUnknown, string(r.Reason))
	} else {
		headers.Set(header.NotRun, string(r.Reason))
	}
	if r.retryAfter > 0 {
		headers.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	w.WriteHeader(r.status)
	// The write fails if the caller has disconnected; then there is no one to report
	// the error to.
	_ = json.NewEncoder(w).Encode(r)
}

// errorResponseBeforeAdmission returns the error response for an error that occurred before
// admission. A request with a ticket or an idempotency key may have run when the caller
// sent it before.
func errorResponseBeforeAdmission(err error, mayHaveRunBefore bool) ErrorResponse {
	response := errorResponseFor(err)
	response.Detail = err.Error()
	if mayHaveRunBefore && !response.outcomeUnknown {
		response.Ran = ranUnknown
		response.outcomeUnknown = true
	}
	return response
}

// errorResponseFor returns the error response for an error, without the detail. For an
// error of any other type, the outcome is reported as unknown, since a request that ran must
// not be reported as not run.
func errorResponseFor(err error) ErrorResponse {
	if response, known := keyErrorResponse(err); known {
		return response
	}
	var (
		starting        *StartingError
		noRoute         *NoRouteError
		rateLimit       *RateLimitError
		rateUnconfirmed *RateUnconfirmedError
		timeout         *header.InvalidTimeoutError
		body            *BodyError
	)
	switch {
	case errors.As(err, &starting):
		return newRejection(http.StatusServiceUnavailable, Starting)
	case errors.As(err, &noRoute):
		return newRejection(http.StatusNotFound, NoRoute)
	case errors.As(err, &timeout):
		return newRejection(http.StatusBadRequest, InvalidTimeout)
	case errors.As(err, &body):
		return newRejection(http.StatusBadRequest, UnreadableBody)
	case errors.As(err, &rateLimit):
		response := newRejection(http.StatusTooManyRequests, RateLimitExceeded)
		response.retryAfter = rateLimit.RetryAfter
		return response
	case errors.As(err, &rateUnconfirmed):
		response := newRejection(http.StatusServiceUnavailable, RateUnconfirmed)
		response.retryAfter = rateUnconfirmed.RetryAfter
		return response
	}
	if response, known := slotErrorResponse(err); known {
		return response
	}
	return ErrorResponse{
		Reason:         UnclassifiedError,
		Ran:            ranUnknown,
		status:         http.StatusBadGateway,
		outcomeUnknown: true,
	}
}

// keyErrorResponse returns the error response for an error of the API key or its team. It
// returns false for other errors.
func keyErrorResponse(err error) (ErrorResponse, bool) {
	var (
		noKey       *apikey.NoKeyError
		malformed   *apikey.MalformedKeyError
		unknown     *apikey.UnknownKeyError
		withdrawn   *apikey.WithdrawnKeyError
		unconfirmed *KeysUnconfirmedError
		unknownTeam *UnknownTeamError
	)
	switch {
	case errors.As(err, &noKey):
		return newRejection(http.StatusUnauthorized, NoKey), true
	case errors.As(err, &malformed):
		return newRejection(http.StatusUnauthorized, MalformedKey), true
	case errors.As(err, &unknown):
		return newRejection(http.StatusUnauthorized, UnknownKey), true
	case errors.As(err, &withdrawn):
		return newRejection(http.StatusUnauthorized, WithdrawnKey), true
	case errors.As(err, &unconfirmed):
		return newRejection(http.StatusServiceUnavailable, KeysUnconfirmed), true
	case errors.As(err, &unknownTeam):
		return newRejection(http.StatusForbidden, UnknownTeam), true
	}
	return ErrorResponse{}, false
}

// slotErrorResponse returns the error response for an error of the choice of the region or
// the wait for a slot. It returns false for other errors.
func slotErrorResponse(err error) (ErrorResponse, bool) {
	var (
		full              *queue.TeamQueueFullError
		deadline          *queue.DeadlineError
		canceled          *queue.CanceledError
		noServer          *backend.NoServerError
		backendRegionLost *backend.RegionLostError
		noSlot            *backend.NoFreeSlotError
		noRegion          *steer.NoRegionError
		limit             *steer.LimitError
		steerRegionLost   *steer.RegionLostError
	)
	switch {
	case errors.As(err, &full):
		return newRejection(http.StatusServiceUnavailable, QueueFull), true
	case errors.As(err, &deadline):
		return newRejection(http.StatusServiceUnavailable, DeadlineUnmet), true
	case errors.As(err, &canceled):
		return newRejection(http.StatusServiceUnavailable, EndedWhileQueued), true
	case errors.As(err, &limit):
		response := newRejection(http.StatusServiceUnavailable, LinkLimitExceeded)
		response.retryAfter = limit.RetryAfter
		return response, true
	case errors.As(err, &noServer), errors.As(err, &backendRegionLost), errors.As(err, &noSlot), errors.As(err, &noRegion),
		errors.As(err, &steerRegionLost):
		return newRejection(http.StatusServiceUnavailable, NoFreeServer), true
	}
	return ErrorResponse{}, false
}

// newRejection returns the error response for a request that was not run.
func newRejection(status int, reason header.Reason) ErrorResponse {
	return ErrorResponse{
		Reason: reason,
		Ran:    ranNo,
		status: status,
	}
}
