package observe

import "go.uber.org/zap/zapcore"

// ofRequest returns the fields that each event of an entry host on the users' platform
// tells of a request, and those of the event's own.
func ofRequest(own ...string) []string {
	return append([]string{
		"request",
		"took",
		"waited",
		"servers",
		"route",
		"service",
		"team",
		"version",
		"allowed",
	}, own...)
}

// The events of single requests.
var (
	RequestRefused = Event{
		Number: 400,
		Name:   "request-refused",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"request",
			"route",
			"team",
			"reason",
			"server",
			"detail",
		},
		Cause:  "A request was not run; the caller was told so.",
		Action: "See the measures for the counts by reason.",
	}
	RequestFailed = Event{
		Number: 405,
		Name:   "request-ended",
		Level:  zapcore.InfoLevel,
		Fields: ofRequest("status", "return-in", "error"),
		Cause:  "This host ended a request without a backend server's answer. Status 429 and 503: it was not run; 502 and 504: it may have run.",
		Action: "Look at the error; servers lists those that the request was sent to, in order.",
	}
	RequestCompleted = Event{
		Number: 406,
		Name:   "request-passed",
		Level:  zapcore.DebugLevel,
		Fields: ofRequest("status", "region", "object"),
		Cause:  "A backend server's whole answer went to the caller. Took is the whole time, waited the part of it in which the request had no place on a backend server.",
		Action: "None; the event is for measuring.",
	}
	RequestSlow = Event{
		Number: 407,
		Name:   "request-late",
		Level:  zapcore.InfoLevel,
		Fields: ofRequest("status", "region", "object"),
		Cause:  "As request-passed, but it took longer than the route's target.",
		Action: "If waited is most of took, the service is full; if not, its backend servers are slow or the object was cold.",
	}
	CallerDisconnected = Event{
		Number: 408,
		Name:   "caller-left",
		Level:  zapcore.InfoLevel,
		Fields: ofRequest(),
		Cause:  "The caller closed its connection before its request was answered.",
		Action: "If there are many, compare took with allowed: callers may wait less long than they say.",
	}
	RequestOutcomeUnknown = Event{
		Number: 401,
		Name:   "request-unknown",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"request",
			"route",
			"team",
			"reason",
			"server",
			"detail",
		},
		Cause:  "A request may have run, and its answer was lost; the caller was told so.",
		Action: "If many name one backend server, look at it.",
	}
	ResponseIncomplete = Event{
		Number: 402,
		Name:   "answer-broken",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"request",
			"server",
			"error",
		},
		Cause:  "A backend server's answer ended early; the caller's connection was broken so that it cannot be taken for whole.",
		Action: "If many name one backend server, look at it.",
	}
	RequestCrashedServer = Event{
		Number: 403,
		Name:   "request-suspected",
		Level:  zapcore.ErrorLevel,
		Fields: []string{
			"fingerprint",
			"server",
			"lost",
		},
		Cause:  "A backend server broke the connection of a request and answers no more; after two such servers the request is refused.",
		Action: "Find what in the request crashes the backend server; the sender's other requests go on.",
	}
)
