package observe

import "go.uber.org/zap/zapcore"

// requestFields returns the fields of an event that is logged when a request ends on a
// host that runs trefoillined serve, followed by the additional fields of the event.
func requestFields(additional ...string) []string {
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
	}, additional...)
}

// The events about single requests.
var (
	RequestRejected = Event{
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
		Cause:  "Logged by hosts that do not run trefoillined serve: a request was not run; the response told the caller so, with the reason.",
		Action: "See the metrics for the counts by reason.",
	}
	RequestFailed = Event{
		Number: 405,
		Name:   "request-ended",
		Level:  zapcore.InfoLevel,
		Fields: requestFields("status", "return-in", "error"),
		Cause:  "Logged by hosts that run trefoillined serve: the host answered a request itself, without a backend server's response. Status 429 and 503: the request was not run; 502 and 504: it may have run. return-in: the time that Retry-After states; a request that returns after it goes before new ones of its team and priority.",
		Action: "Check the error; servers lists the backend servers that the request was sent to, in order.",
	}
	RequestCompleted = Event{
		Number: 406,
		Name:   "request-passed",
		Level:  zapcore.DebugLevel,
		Fields: requestFields("status", "region", "object"),
		Cause:  "The complete response of a backend server was sent to the caller. took: the total time. waited: the part of it in which the request had no slot on a backend server. object: the affinity key of the request. allowed: the time from the arrival of the request to the caller's deadline.",
		Action: "None; the event is meant for measurements.",
	}
	RequestSlow = Event{
		Number: 407,
		Name:   "request-late",
		Level:  zapcore.InfoLevel,
		Fields: requestFields("status", "region", "object"),
		Cause:  "As request-passed, but the request took longer than the latency target of its route.",
		Action: "If waited is most of took, the service is at capacity; if not, its backend servers are slow, or the server did not have the affinity key cached.",
	}
	CallerDisconnected = Event{
		Number: 408,
		Name:   "caller-left",
		Level:  zapcore.InfoLevel,
		Fields: requestFields(),
		Cause:  "The caller closed its connection before the response to its request was sent.",
		Action: "If there are many, compare took with allowed, the time to the caller's deadline: callers may close the connection before the deadline that they state.",
	}
	MemoryShort = Event{
		Number: 409,
		Name:   "memory-short",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"used",
			"limit",
			"waiting",
			"evicted",
			"refused",
			"caller",
			"team",
			"most",
		},
		Cause:  "Logged by hosts that run trefoillined serve, at most every 10 s: request bodies or responses lost their memory or their slot (evicted), or got none in time (refused); the counts are those since the last such line. used and limit are the memory budget in bytes, waiting is what waits for memory, and caller and team are those that hold the most, with the bytes that they hold.",
		Action: "If one caller or team holds most of it, ask its owner why its requests stop short; else add hosts or memory. The metrics memory-evicted and memory-refused have the counts by reason.",
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
		Cause:  "Logged by hosts that do not run trefoillined serve: a request may have run, but its response was lost; the response to the caller said so, with the reason.",
		Action: "If many of these events name the same backend server, check that server.",
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
		Cause:  "A backend server's response ended early; the caller's connection was closed so that the caller cannot mistake the response for a complete one.",
		Action: "If many of these events name the same backend server, check that server.",
	}
	RequestSuspected = Event{
		Number: 403,
		Name:   "request-suspected",
		Level:  zapcore.ErrorLevel,
		Fields: []string{
			"fingerprint",
			"server",
			"lost",
		},
		Cause:  "A backend server broke the connection of a request and no longer responds, so the request is suspected to crash servers; lost is the number of crashes. After two the request is rejected.",
		Action: "Find out what in the request crashes the backend server; other requests of the same caller are still served.",
	}
)
