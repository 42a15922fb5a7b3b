package observe

import "go.uber.org/zap/zapcore"

// The events of parts of the teams' rates that are recovered without the store.
var (
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
