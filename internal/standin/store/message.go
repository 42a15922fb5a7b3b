package store

import (
	"time"
)

// FaultsMessage is the JSON form of [Faults], as [FaultsPath] accepts it.
type FaultsMessage struct {
	Down            bool `json:"down"`
	MachineListDown bool `json:"list-down"`
	// Delay is a Go duration such as "250ms"; empty means none.
	Delay            string `json:"delay,omitempty"`
	DropWriteReplies int    `json:"lose-replies"`
	StaleWatch       bool   `json:"stale-watch"`
	StaleReads       bool   `json:"stale-reads"`
}

// Parse returns the faults of the message, or an [objectstore.RefusedError] if
// Delay is not a valid duration.
func (f FaultsMessage) Parse() (Faults, error) {
	var delay time.Duration
	if f.Delay != "" {
		parsed, err := time.ParseDuration(f.Delay)
		if err != nil || parsed < 0 {
			return Faults{}, badRequestError("faults", `delay is not a duration such as "250ms": `+f.Delay)
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
