package observe

import "go.uber.org/zap/zapcore"

// The events of a host. Numbers from 100 are about the process, from 200 about the
// configuration and the store, from 300 about the fleet and the limits and plans that
// its hosts share, from 400 about requests, from 500 about backend servers (none so
// far), and from 900 about faults of the program and its log. [Catalogue] lists them in
// order.
//
// TableApplied is an event of hosts that run trefoillined run, which read a routing table, and
// ConfigurationApplied one of hosts that run trefoillined serve, which read the configuration
// from the platform's store.
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
		Cause:  "The host is listening; it accepts requests once it has its routing table or, with trefoillined serve, its configuration, the backend servers and its shares of the rate limits.",
		Action: "None.",
	}
	DrainingStarted = Event{
		Number: 101,
		Name:   "leaving",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"running",
		},
		Cause:  "The host was asked to stop and started to drain; lookup responses no longer name it.",
		Action: "None; the host stops at the latest at the end of its drain time, which --drain-limit or grace-seconds sets.",
	}
	Stopped = Event{
		Number: 102,
		Name:   "stopped",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"cut",
			"open",
			"drain-time",
		},
		Cause:  "The host has stopped; cut is the number of requests that were still running shortly before the end, and open the number of connections that were still open at the end.",
		Action: "If cut is above zero, raise --drain-limit or grace-seconds: some requests run longer than it allows.",
	}
	ConnectionClosedEarly = Event{
		Number: 106,
		Name:   "connection-closed-early",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"caller",
			"unanswered",
			"unread",
			"sent",
			"unsent",
			"open",
		},
		Cause:  "The host closed a caller's connection on which it had received something that it did not answer, or before the caller had its last answer; unanswered is how many bytes it had read since the last that it sent, unread whether there were more, sent how many bytes it had sent in all, unsent how many of them the caller had not received, and open for how long the connection was open. If unread is true, what is unsent does not arrive.",
		Action: "If it comes at stops, raise --drain-limit or grace-seconds; else report it.",
	}
	ConnectionsLimited = Event{
		Number: 107,
		Name:   "connections-limited",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"listener",
			"open",
			"limit",
			"reasons",
			"caller",
			"of-caller",
		},
		Cause:  "In the last ten seconds the host closed connections of a listener because of its limits. Reasons counts them: closing, idle, header and body were closed for new connections at the limit, by what they waited for; refused were new ones for which no other could be closed; header-bytes and header-time had headers above the limits of the configuration. Caller is the address that lost the most, and of-caller how many.",
		Action: "If the caller is an ordinary one, raise machine.descriptors and machine.memory-megabytes if the machine has more, or the limits of the configuration; else block its address.",
	}
	TableApplied = Event{
		Number: 200,
		Name:   "table-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"version",
			"before",
		},
		Cause:  "The host applied a new version of the routing table.",
		Action: "None.",
	}
	TableUnreadable = Event{
		Number: 201,
		Name:   "table-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The store did not respond, or a version of the routing table could not be read; the host keeps using the last valid version.",
		Action: "Check the store; if the error names a version, publish it again with trefoilline table restore.",
	}
	KeysApplied = Event{
		Number: 202,
		Name:   "keys-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"version",
			"keys",
		},
		Cause:  "The host applied a new version of the API keys.",
		Action: "None.",
	}
	KeysUnconfirmed = Event{
		Number: 203,
		Name:   "keys-unconfirmed",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"age",
		},
		Cause:  "The host could not confirm within the allowed time that its API keys are up to date; it rejects requests that carry an API key.",
		Action: "Restore the host's connection to the store or to the other hosts; callers are sent to other hosts until then.",
	}
	KeysConfirmed = Event{
		Number: 204,
		Name:   "keys-confirmed",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"age",
		},
		Cause:  "The API keys are confirmed to be up to date again, after they were not.",
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
		Cause:  "The host applied a new step of the plan that moves the traffic weights towards those of the routing table.",
		Action: "None.",
	}
	PlanUnreadable = Event{
		Number: 206,
		Name:   "plan-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The plan of weights in the store could not be read; the host keeps using the last valid one.",
		Action: "Report it as a bug; the next step of the plan replaces the unreadable one.",
	}
	PeerUnreachable = Event{
		Number: 300,
		Name:   "peer-unreached",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"peer",
			"error",
		},
		Cause:  "A message to another entry host could not be delivered.",
		Action: "None for a single message; the hosts of the fleet decide together whether that host is down.",
	}
	MachineListUnreadable = Event{
		Number: 301,
		Name:   "machines-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The platform's list of machines could not be read; the host keeps using the last list.",
		Action: "Check the platform.",
	}
	AllocationSyncFailed = Event{
		Number: 302,
		Name:   "allocation-unwritten",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The allocation of limits to hosts could not be read from or written to the store; the last one stays in effect.",
		Action: "Check the store if this persists.",
	}
	PlanSyncFailed = Event{
		Number: 303,
		Name:   "plan-unwritten",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The plan of weights could not be read from or written to the store; the last one stays in effect.",
		Action: "Check the store if this persists.",
	}
	ServingFailed = Event{
		Number: 103,
		Name:   "serving-failed",
		Level:  zapcore.ErrorLevel,
		Fields: []string{
			"address",
			"error",
		},
		Cause:  "A listener of the host failed, or could not be closed.",
		Action: "Check the error; restart the host if it no longer accepts connections.",
	}
	ConfigurationApplied = Event{
		Number: 211,
		Name:   "configuration-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"version",
			"era",
			"revision",
		},
		Cause:  "The host applied a newer version of the operators' configuration; revision is that of its object in the store, and era that of the store, which rises by one each time it comes back from an older copy.",
		Action: "None.",
	}
	ZonesEvacuated = Event{
		Number: 212,
		Name:   "zones-evacuated",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"zones",
		},
		Cause:  "The host applied the set of evacuated zones, which receive no requests; logged also if the set has not changed.",
		Action: "None.",
	}
	SettingsApplied = Event{
		Number: 104,
		Name:   "settings-in-force",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"needs-restart",
		},
		Cause:  "The settings file changed while the host was running; the settings that can change without a restart are applied.",
		Action: "If needs-restart is true, the host's name, its region or zone, or an address changed too: restart it when convenient.",
	}
	SettingsInvalid = Event{
		Number: 105,
		Name:   "settings-unusable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The settings file changed while the host was running and is invalid; the previous settings stay in effect.",
		Action: "Fix the problems that the error lists; the host reloads the file automatically.",
	}
	StoreObjectInvalid = Event{
		Number: 213,
		Name:   "entry-unusable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"key",
			"error",
		},
		Cause:  "An object in the store could not be decoded; the host uses its last valid value, or none.",
		Action: "Find out what wrote the object and correct it.",
	}
	StoreUnavailable = Event{
		Number: 214,
		Name:   "store-lost",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"prefix",
			"error",
		},
		Cause:  "Calls to the store for the objects with this prefix began to fail; the host keeps using its local copy.",
		Action: "If this persists, check the store and the network connection to it.",
	}
	StoreRecovered = Event{
		Number: 215,
		Name:   "store-regained",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"prefix",
		},
		Cause:  "Calls to the store for the objects with this prefix succeed again.",
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
		Cause:  "The host that reads the store on behalf of this one did not respond, or cannot reach the store; this host reads the store directly for a while.",
		Action: "None; if this persists, check that host.",
	}
	StoreRestored = Event{
		Number: 220,
		Name:   "store-restored",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"era",
		},
		Cause:  "The store came back from an older copy of its objects; its writes of the last seconds are gone, and its revisions start again from those of the copy.",
		Action: "Check that the configuration, the evacuations and the servers in the store are as intended.",
	}
	HostRecordWriteFailed = Event{
		Number: 216,
		Name:   "record-unwritten",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"error",
		},
		Cause:  "The host's own record in the store could not be written or removed; the host retries while it runs.",
		Action: "If this persists, check the store and the network connection to it.",
	}
	HeartbeatSendFailed = Event{
		Number: 305,
		Name:   "beat-unsent",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"to",
			"error",
		},
		Cause:  "A heartbeat to another host, or a request for its copy of the store's objects, failed.",
		Action: "None; lookup responses no longer name a host that is down.",
	}
	RegionSharesLogged = Event{
		Number: 307,
		Name:   "parts-set",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"away",
			"planned",
			"corrected",
			"demand",
			"to",
			"crowding",
			"homes",
			"spilled",
			"hosts",
			"rates",
		},
		Cause:  "Logged periodically. away: for each service, the share of its load that other regions serve. planned: what that share approaches according to demand and slots; omitted if demand is unknown, so that away follows crowding alone. corrected: what crowding adds to planned; omitted if 0. demand: for each service, the slots that the requests of the callers of each region are expected to occupy if the servers have their affinity keys cached. to: for each service, how what is away is divided among the other regions. crowding: for each service, its utilization by region. homes: for each route, the share of its affinity keys that are served in the local region; omitted if 1. spilled: for each service, the requests since the start that ran in another region than planned because no server in that region took them. hosts: the number of hosts that share the limits. rates: for each team with a limit, this host's share of its rate.",
		Action: "None.",
	}
	HeartbeatUnreadable = Event{
		Number: 306,
		Name:   "beat-unreadable",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"from",
			"error",
		},
		Cause:  "A heartbeat from another host could not be decoded.",
		Action: "Compare the software versions of both hosts.",
	}
	LogLinesDropped = Event{
		Number: 901,
		Name:   "lines-dropped",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"count",
		},
		Cause:  "The log output was too slow, so log lines were dropped; count is their number. Requests were not delayed.",
		Action: "Check the process that reads the log.",
	}
	OldClaimsRemoved = Event{
		Number: 304,
		Name:   "claims-swept",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"removed",
			"error",
		},
		Cause:  "This host removed old claims from the store: records of requests with idempotency keys that callers chose.",
		Action: "None; if there is an error, the next cleanup removes the rest.",
	}
	InvariantViolated = Event{
		Number: 900,
		Name:   "invariant-broken",
		Level:  zapcore.ErrorLevel,
		Fields: []string{
			"invariant",
			"detail",
		},
		Cause:  "The program detected that one of its invariants does not hold.",
		Action: "Report it as a bug, with the log lines before and after it.",
	}
)
