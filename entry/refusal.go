package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/queue"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/team"
)

// The reasons for refusals that this package finds itself.
const (
	Starting           header.Reason = "starting"
	NoRoute            header.Reason = "no-route"
	NoKey              header.Reason = "no-key"
	MalformedKey       header.Reason = "malformed-key"
	UnknownKey         header.Reason = "unknown-key"
	WithdrawnKey       header.Reason = "withdrawn-key"
	KeysUnconfirmed    header.Reason = "keys-unconfirmed"
	UnknownTeam        header.Reason = "unknown-team"
	RateLimitExceeded  header.Reason = "over-rate"
	RateUnconfirmed    header.Reason = "rate-unconfirmed"
	QueueFull          header.Reason = "queue-full"
	DeadlineUnmet      header.Reason = "deadline-unmet"
	EndedWhileQueued   header.Reason = "cancelled"
	NoServer           header.Reason = "no-server"
	LimitReached       header.Reason = "limit-reached"
	InvalidTimeout     header.Reason = "bad-deadline"
	UnreadableBody     header.Reason = "bad-body"
	UnclassifiedError  header.Reason = "failed"
	ResponseIncomplete header.Reason = "broken-answer"
	CallerDisconnected header.Reason = "caller-gone"
)

// ErrorResponse is the body of an answer that comes from an entry host and not from a
// backend server.
type ErrorResponse struct {
	Reason header.Reason `json:"reason"`
	// Ran is "no" for a request that was not run, "yes" for one that ran when it
	// was sent before, and "unknown" for one that may have run.
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
	// RequestID names the request in the logs.
	RequestID string `json:"request"`

	status  int
	retry   time.Duration
	unknown bool
}

// The values of [ErrorResponse.Ran].
const (
	ranNo      = "no"
	ranYes     = "yes"
	ranUnknown = "unknown"
)

// write sends the refusal to the caller.
func (r ErrorResponse) write(w http.ResponseWriter) {
	headers := w.Header()
	headers.Set("Content-Type", "application/json")
	headers.Set("Cache-Control", "no-store")
	headers.Set(header.RequestID, r.RequestID)
	if r.unknown {
		headers.Set(header.OutcomeUnknown, string(r.Reason))
	} else {
		headers.Set(header.NotRun, string(r.Reason))
	}
	if r.retry > 0 {
		headers.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retry.Seconds()))))
	}
	w.WriteHeader(r.status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(r)
}

// refusalFor returns the refusal for an error found before the request was
// admitted. A request with a name may have run when it was sent before.
func refusalFor(err error, named bool) ErrorResponse {
	refusal := classify(err)
	refusal.Detail = err.Error()
	if named && !refusal.unknown {
		refusal.Ran = ranUnknown
		refusal.unknown = true
	}
	return refusal
}

// classify turns an error into what the caller is told. An error of a type that
// it does not know is told as an unknown outcome, which is never false.
func classify(err error) ErrorResponse {
	if refusal, known := classifyKey(err); known {
		return refusal
	}
	var (
		starting *StartingError
		noRoute  *NoRouteError
		overRate *RateLimitError
		rate     *RateUnconfirmedError
		deadline *header.InvalidTimeoutError
		body     *BodyError
	)
	switch {
	case errors.As(err, &starting):
		return notRunRefusal(http.StatusServiceUnavailable, Starting)
	case errors.As(err, &noRoute):
		return notRunRefusal(http.StatusNotFound, NoRoute)
	case errors.As(err, &deadline):
		return notRunRefusal(http.StatusBadRequest, InvalidTimeout)
	case errors.As(err, &body):
		return notRunRefusal(http.StatusBadRequest, UnreadableBody)
	case errors.As(err, &overRate):
		refusal := notRunRefusal(http.StatusTooManyRequests, RateLimitExceeded)
		refusal.retry = overRate.RetryAfter
		return refusal
	case errors.As(err, &rate):
		refusal := notRunRefusal(http.StatusServiceUnavailable, RateUnconfirmed)
		refusal.retry = rate.RetryAfter
		return refusal
	}
	if refusal, known := classifyWait(err); known {
		return refusal
	}
	return ErrorResponse{
		Reason:  UnclassifiedError,
		Ran:     ranUnknown,
		status:  http.StatusBadGateway,
		unknown: true,
	}
}

func classifyKey(err error) (ErrorResponse, bool) {
	var (
		noKey       *team.NoKeyError
		malformed   *team.MalformedKeyError
		unknown     *team.UnknownKeyError
		withdrawn   *team.WithdrawnKeyError
		unconfirmed *KeysUnconfirmedError
		unknownTeam *UnknownTeamError
	)
	switch {
	case errors.As(err, &noKey):
		return notRunRefusal(http.StatusUnauthorized, NoKey), true
	case errors.As(err, &malformed):
		return notRunRefusal(http.StatusUnauthorized, MalformedKey), true
	case errors.As(err, &unknown):
		return notRunRefusal(http.StatusUnauthorized, UnknownKey), true
	case errors.As(err, &withdrawn):
		return notRunRefusal(http.StatusUnauthorized, WithdrawnKey), true
	case errors.As(err, &unconfirmed):
		return notRunRefusal(http.StatusServiceUnavailable, KeysUnconfirmed), true
	case errors.As(err, &unknownTeam):
		return notRunRefusal(http.StatusForbidden, UnknownTeam), true
	}
	return ErrorResponse{}, false
}

func classifyWait(err error) (ErrorResponse, bool) {
	var (
		full     *queue.TeamQueueFullError
		deadline *queue.DeadlineError
		canceled *queue.CanceledError
		noServer *backend.NoServerError
		lost     *backend.RegionLostError
		noSlot   *backend.NoFreeSlotError
		noRegion *steer.NoRegionError
		limit    *steer.LimitError
		gone     *steer.RegionLostError
	)
	switch {
	case errors.As(err, &full):
		return notRunRefusal(http.StatusServiceUnavailable, QueueFull), true
	case errors.As(err, &deadline):
		return notRunRefusal(http.StatusServiceUnavailable, DeadlineUnmet), true
	case errors.As(err, &canceled):
		return notRunRefusal(http.StatusServiceUnavailable, EndedWhileQueued), true
	case errors.As(err, &limit):
		refusal := notRunRefusal(http.StatusServiceUnavailable, LimitReached)
		refusal.retry = limit.RetryAfter
		return refusal, true
	case errors.As(err, &noServer), errors.As(err, &lost), errors.As(err, &noSlot), errors.As(err, &noRegion),
		errors.As(err, &gone):
		return notRunRefusal(http.StatusServiceUnavailable, NoServer), true
	}
	return ErrorResponse{}, false
}

func notRunRefusal(status int, reason header.Reason) ErrorResponse {
	return ErrorResponse{
		Reason: reason,
		Ran:    ranNo,
		status: status,
	}
}
