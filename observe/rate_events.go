package observe

import "go.uber.org/zap/zapcore"

// The events about the teams' rates in a fleet that runs trefoillined serve.
var (
	TokenRequestFailed = Event{
		Number: 308,
		Name:   "token-unasked",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"to",
			"error",
		},
		Cause:  "Another host did not respond to a request for a token of a team's rate limit; the next host was asked, or the caller's request was rejected.",
		Action: "None; heartbeats detect whether that host is down.",
	}
	LoanRequestFailed = Event{
		Number: 309,
		Name:   "loan-failed",
		Level:  zapcore.DebugLevel,
		Fields: []string{
			"to",
			"from",
			"error",
		},
		Cause:  "Another host did not respond to a request for a loan of the teams' rates, or its request could not be decoded; it lends or gets nothing until the next request.",
		Action: "None; heartbeats detect whether that host is down.",
	}
	RatePartChanged = Event{
		Number: 310,
		Name:   "rate-part-changed",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"part",
			"stated",
			"least",
			"most",
			"others",
		},
		Cause:  "This host's part of the teams' rates changed, in millionths: part is what this host uses, stated what its record says, and it should have between least and most. Others names each other host that has one, with the part that its record states, and whether it is active, silent or not known yet.",
		Action: "If part stays zero, look for hosts that are silent. What hosts own that are gone for good is free some 12 s after they were last heard, unless they are of an earlier build; remove the records of those from the store.",
	}
	RatePartRecovered = Event{
		Number: 312,
		Name:   "rate-part-recovered",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"part",
			"version",
			"answered",
		},
		Cause:  "This host started again while the store did not respond. It uses the part of the teams' rates, in millionths, that its record of this version states, as all the hosts in answered remember.",
		Action: "None; look for the cause of the store's outage.",
	}
	HostSuspected = Event{
		Number: 313,
		Name:   "host-suspected",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"host",
			"part",
		},
		Cause:  "This host has not heard the other one, which owns this part of the teams' rates, in millionths, for 3 s, and has marked its record. If that host runs and reaches the store, it writes the record anew.",
		Action: "None, if the host was stopped or replaced; else check the connections between the two.",
	}
	HostRecordReclaimed = Event{
		Number: 314,
		Name:   "host-record-reclaimed",
		Level:  zapcore.InfoLevel,
		Fields: []string{
			"host",
			"part",
		},
		Cause:  "The record of a host that was suspected for 8 s was removed; its lease has ended, and the others divide what it owned.",
		Action: "None. If that host still runs, it joins anew once it reaches the store.",
	}
)
