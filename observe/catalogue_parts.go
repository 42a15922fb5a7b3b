package observe

import "go.uber.org/zap/zapcore"

// The events about this host's part of the teams' rates.
var (
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
		Action: "If part stays zero, look for hosts that are silent; if they are gone for good, remove their records from the store.",
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
)
