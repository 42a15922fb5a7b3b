package observe

import "go.uber.org/zap/zapcore"

// CallerHostsSelected is the event of lookups.
var CallerHostsSelected = Event{
	Number: 311,
	Name:   "caller-hosts-selected",
	Level:  zapcore.InfoLevel,
	Fields: []string{
		"region",
		"named",
		"hosts",
	},
	Cause:  "Lookups of callers in the region name another number of hosts than before: the largest ones as long as they have room for the region's callers, else smaller ones too. named: how many; hosts: how many accept callers there.",
	Action: "None; if small hosts are named all the time, the large ones are too few for the load.",
}
