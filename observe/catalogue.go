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
	DrainingStarted = Event{
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
	TableApplied = Event{
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
	KeysApplied = Event{
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
	PlanApplied = Event{
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
	PeerUnreachable = Event{
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
	MachineListUnreadable = Event{
		Number: 301,
		Name:   "machines-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The platform's list of machines could not be read; the last list stays in use.",
		Action: "Look at the platform.",
	}
	AllocationSyncFailed = Event{
		Number: 302,
		Name:   "allocation-unwritten",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The division of limits could not be read or written; the last one stands.",
		Action: "Look at the store if it lasts.",
	}
	PlanSyncFailed = Event{
		Number: 303,
		Name:   "plan-unwritten",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The plan of weights could not be read or written; the last one stands.",
		Action: "Look at the store if it lasts.",
	}
	ServingFailed = Event{
		Number: 103,
		Name:   "serving-failed",
		Level:  zapcore.ErrorLevel,
		Fields: []string{
			"address",
			"error",
		},
		Cause:  "A listener of the host stopped, or a connection did not end in time when the host stopped.",
		Action: "Look at the error; restart the host if it serves no more.",
	}
	ConfigurationApplied = Event{
		Number: 211,
		Name:   "configuration-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"version",
		},
		Cause:  "The host took a newer configuration of the operators.",
		Action: "None.",
	}
	ZonesEvacuated = Event{
		Number: 212,
		Name:   "zones-evacuated",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"zones",
		},
		Cause:  "The operators changed which zones get nothing.",
		Action: "None.",
	}
	SettingsApplied = Event{
		Number: 104,
		Name:   "settings-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"needs-restart",
		},
		Cause:  "The settings file changed while the host ran, and what may change is in force.",
		Action: "If needs-restart is true, the host's name, place or an address changed too: restart it when it suits.",
	}
	SettingsInvalid = Event{
		Number: 105,
		Name:   "settings-unusable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The settings file changed while the host ran, and can't be used; what was in force stands.",
		Action: "Mend the faults that are named; the file is read again by itself.",
	}
	StoreObjectUnreadable = Event{
		Number: 213,
		Name:   "entry-unusable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"key",
			"error",
		},
		Cause:  "An object of the store could not be read; what it held before, or nothing, is used.",
		Action: "Find who wrote the object and mend it.",
	}
	StoreUnavailable = Event{
		Number: 214,
		Name:   "store-lost",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"prefix",
			"error",
		},
		Cause:  "Calls of the store for these objects began to fail; what is known stays in use.",
		Action: "If it lasts, look at the store and the way to it.",
	}
	StoreRecovered = Event{
		Number: 215,
		Name:   "store-regained",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"prefix",
		},
		Cause:  "Calls of the store for these objects work again.",
		Action: "None.",
	}
	StoreReaderUnavailable = Event{
		Number: 217,
		Name:   "reader-lost",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"prefix",
			"reader",
			"error",
		},
		Cause:  "The host that reads the store for this one did not answer, or can not reach the store; this host asks the store itself for a while.",
		Action: "None, unless it lasts: look at that host.",
	}
	HostRecordWriteFailed = Event{
		Number: 216,
		Name:   "record-unwritten",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The host's record in the store could not be written or removed; it tries again while it runs.",
		Action: "If it lasts, look at the store and the way to it.",
	}
	HeartbeatSendFailed = Event{
		Number: 305,
		Name:   "beat-unsent",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"to",
			"error",
		},
		Cause:  "Another host did not take a beat in time.",
		Action: "None; hosts that are lost are named by look-ups no more.",
	}
	SharesReported = Event{
		Number: 307,
		Name:   "parts-set",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"away",
			"crowding",
			"homes",
			"hosts",
		},
		Cause:  "From time to time: the share of each service's load that has its places in other regions, how crowded each service is in each region, the share of the objects of each route that stay where that is not all, and how many hosts share the limits.",
		Action: "None.",
	}
	TokenRequestFailed = Event{
		Number: 308,
		Name:   "token-unasked",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"to",
			"error",
		},
		Cause:  "Another host did not answer when it was asked for a token of a team's rate; the next one was asked, or the request refused.",
		Action: "None; beats tell whether the host is lost.",
	}
	HeartbeatUnreadable = Event{
		Number: 306,
		Name:   "beat-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"from",
			"error",
		},
		Cause:  "Another host sent a beat that can not be read.",
		Action: "Compare the versions of both hosts.",
	}
	LogLinesDropped = Event{
		Number: 901,
		Name:   "lines-dropped",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"count",
		},
		Cause:  "The log's output took lines too slowly, and so many were dropped; requests were not held up.",
		Action: "Look at what reads the log.",
	}
	OldClaimsRemoved = Event{
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
	InvariantViolated = Event{
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
