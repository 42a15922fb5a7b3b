package store

import (
	"time"
)

// FaultsMessage is [Faults] as the control of the stand-in reads it.
type FaultsMessage struct {
	Down            bool `json:"down"`
	MachineListDown bool `json:"list-down"`
	// Delay is a duration as Go writes it, such as "250ms"; empty is none.
	Delay            string `json:"delay,omitempty"`
	DropWriteReplies int    `json:"lose-replies"`
	StaleWatch       bool   `json:"stale-watch"`
	StaleReads       bool   `json:"stale-reads"`
}

// Parse returns the faults that the message asks for.
func (f FaultsMessage) Parse() (Faults, error) {
	var delay time.Duration
	if f.Delay != "" {
		parsed, err := time.ParseDuration(f.Delay)
		if err != nil || parsed < 0 {
			return Faults{}, refused("faults", `delay is not a duration such as "250ms": `+f.Delay)
		}
		delay = parsed
	}
	return Faults{
		Down:             f.Down,
		MachineListDown:  f.MachineListDown,
		Delay:            delay,
		DropWriteReplies: f.DropWriteReplies,
		StaleWatch:       f.StaleWatch,
		StaleReads:       f.StaleReads,
	}, nil
}
