package observe

import "go.uber.org/zap/zapcore"

// The events of the daemon. Numbers from 100 tell of the process, from 200 of
// the table and the keys, from 300 of the fleet, from 400 of requests, from 500
// of backend servers, and from 900 of broken invariants.
var (
	Started = Event{
		Number: 100,
		Name:   "started",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"host",
			"incarnation",
			"address",
		},
		Cause:  "The daemon listens; it takes requests once it has a table.",
		Action: "None.",
	}
	LeavingStarted = Event{
		Number: 101,
		Name:   "leaving",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"running",
		},
		Cause:  "The daemon was told to stop and drops out of look-up answers.",
		Action: "None; the daemon stops once cached look-ups have run out and running requests are done.",
	}
	Stopped = Event{
		Number: 102,
		Name:   "stopped",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"cut",
			"drain-time",
		},
		Cause:  "The daemon has stopped; cut counts the requests that were still running.",
		Action: "If cut is above zero, raise --drain-limit: some requests run longer.",
	}
	TableInForce = Event{
		Number: 200,
		Name:   "table-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"version",
			"before",
		},
		Cause:  "The host took a new version of the table.",
		Action: "None.",
	}
	TableUnreadable = Event{
		Number: 201,
		Name:   "table-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The store did not answer, or a version of the table could not be read; the last good version stays in force.",
		Action: "Look at the store; if the cause names a version, publish it again with trefoilline table restore.",
	}
	KeysInForce = Event{
		Number: 202,
		Name:   "keys-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"version",
			"keys",
		},
		Cause:  "The host took a new view of the keys.",
		Action: "None.",
	}
	KeysUnconfirmed = Event{
		Number: 203,
		Name:   "keys-unconfirmed",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"age",
		},
		Cause:  "The view of the keys has not been confirmed within the bound; keyed requests are refused here.",
		Action: "Restore the host's way to the store or to the other hosts; callers are sent elsewhere meanwhile.",
	}
	KeysConfirmed = Event{
		Number: 204,
		Name:   "keys-confirmed",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"age",
		},
		Cause:  "The view of the keys is confirmed again after a gap.",
		Action: "None.",
	}
	PlanInForce = Event{
		Number: 205,
		Name:   "plan-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"step",
			"version",
		},
		Cause:  "The host took a new step of the plan that moves weights towards the table's.",
		Action: "None.",
	}
	PlanUnreadable = Event{
		Number: 206,
		Name:   "plan-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The plan in the store could not be read; the last good one stays in force.",
		Action: "Report it; the next step of the plan replaces it.",
	}
	PeerUnreached = Event{
		Number: 300,
		Name:   "peer-unreached",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"peer",
			"error",
		},
		Cause:  "A message to another entry host was not delivered.",
		Action: "None for a single one; the fleet's view decides whether the host is lost.",
	}
	MachinesUnreadable = Event{
		Number: 301,
		Name:   "machines-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The platform's list of machines could not be read; the last list stays in use.",
		Action: "Look at the platform.",
	}
	AllocationUnwritten = Event{
		Number: 302,
		Name:   "allocation-unwritten",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The division of limits could not be read or written; the last one stands.",
		Action: "Look at the store if it lasts.",
	}
	PlanUnwritten = Event{
		Number: 303,
		Name:   "plan-unwritten",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The plan of weights could not be read or written; the last one stands.",
		Action: "Look at the store if it lasts.",
	}
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
	RequestUnknown = Event{
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
	AnswerBroken = Event{
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
	RequestSuspected = Event{
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
	ClaimsSwept = Event{
		Number: 304,
		Name:   "claims-swept",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"removed",
			"error",
		},
		Cause:  "This host removed old claims, of requests under keys that callers chose, from the store.",
		Action: "None; with an error, the next sweep removes the rest.",
	}
	InvariantBroken = Event{
		Number: 900,
		Name:   "invariant-broken",
		Level:  zapcore.ErrorLevel,
		Fields: []string{
			"invariant",
			"detail",
		},
		Cause:  "The program found that a promise does not hold.",
		Action: "Report it with the log around it; it is a fault of the program.",
	}
)

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	return []Event{
		Started,
		LeavingStarted,
		Stopped,
		TableInForce,
		TableUnreadable,
		KeysInForce,
		KeysUnconfirmed,
		KeysConfirmed,
		PlanInForce,
		PlanUnreadable,
		PeerUnreached,
		MachinesUnreadable,
		AllocationUnwritten,
		PlanUnwritten,
		ClaimsSwept,
		RequestRefused,
		RequestUnknown,
		AnswerBroken,
		RequestSuspected,
		InvariantBroken,
	}
}
