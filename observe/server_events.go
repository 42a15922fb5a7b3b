package observe

import "go.uber.org/zap/zapcore"

// The events about what backend servers say in their responses, and whether this host reaches them.
var (
	ServerLimited = Event{
		Number: 218,
		Name:   "server-limited",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"server",
			"rate",
		},
		Cause:  "A backend server named the rate of requests, in requests per second, that it accepts from all hosts together.",
		Action: "Find out what the server lacks.",
	}
	ServerLimitEnded = Event{
		Number: 219,
		Name:   "server-limit-ended",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"server",
			"sent",
		},
		Cause:  "A backend server names no limit any more; sent is how many requests this host sent to it while it did.",
		Action: "None.",
	}
	ServersUnreachable = Event{
		Number: 221,
		Name:   "servers-unreached",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"tried",
			"error",
		},
		Cause:  "This host reaches no backend server: several were silent or could not be reached, and no connection to the tried ones could be opened. Look-ups no longer name the host, and it forwards its requests to other hosts.",
		Action: "Check the links between this host and the backend servers.",
	}
	ServersReachable = Event{
		Number: 222,
		Name:   "servers-reached",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"after",
		},
		Cause:  "This host reaches backend servers again. after: for how long it reached none.",
		Action: "None.",
	}
	ServerLeaving = Event{
		Number: 223,
		Name:   "server-leaving",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"server",
			"from",
		},
		Cause:  "A backend server said in a response that it leaves, to this host or to the one in from; it gets no more requests until it starts again.",
		Action: "None.",
	}
	ServerPaused = Event{
		Number: 224,
		Name:   "server-paused",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"server",
			"asked",
			"remaining",
		},
		Cause:  "A backend server turned a request away and asked this host for a pause. remaining: for how long it gets nothing, which is longer than asked if an earlier pause lasts longer, and at most five minutes.",
		Action: "If it recurs, find out what the server lacks.",
	}
	ServerPauseInvalid = Event{
		Number: 225,
		Name:   "server-pause-invalid",
		Level:  zapcore.WarnLevel,
		Fields: []string{
			"server",
			"value",
		},
		Cause:  "A backend server turned a request away and asked for a pause that is no number of seconds from zero on; it gets further requests.",
		Action: "Correct what the server sends in Retry-After.",
	}
)
