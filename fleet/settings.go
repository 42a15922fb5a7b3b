package fleet

import "time"

// Settings configure a [Node]. A zero field means its default. All hosts of a
// fleet must have the same settings.
type Settings struct {
	// TickInterval is the time between ticks; 500 ms by default.
	TickInterval time.Duration
	// StoreReadersPerZone is the number of hosts of each zone that watch the store; 4
	// by default.
	StoreReadersPerZone int
	// FanOut is the number of hosts that poll the same parent; 3 by default.
	FanOut int
	// ReplyTimeout is the time allowed for the reply to a poll; 1 s by default.
	ReplyTimeout time.Duration
	// SuspectTimeout is the time that a suspect has to refute the suspicion; 5 s
	// by default.
	SuspectTimeout time.Duration
	// ZoneTimeout is how long a zone may be silent before its hosts no longer
	// count as live; 8 s by default.
	ZoneTimeout time.Duration
	// GossipTime is how long a change is included in messages; 6 s by default.
	GossipTime time.Duration
	// MinRepairInterval is the minimum time between two requests for the member
	// records of other hosts; 3 s by default.
	MinRepairInterval time.Duration
	// MaxConfirmationAge is how long a view may be used after it was confirmed; 5
	// s by default.
	MaxConfirmationAge time.Duration
	// CrashCountRetention is how long a crash count is used after it last
	// increased; 10 min by default.
	CrashCountRetention time.Duration
}

// The defaults of [Settings].
const (
	defaultTickInterval        = 500 * time.Millisecond
	defaultStoreReadersPerZone = 4
	defaultFanOut              = 3
	defaultReplyTimeout        = time.Second
	defaultSuspectTimeout      = 5 * time.Second
	defaultZoneTimeout         = 8 * time.Second
	defaultGossipTime          = 6 * time.Second
	defaultMinRepairInterval   = 3 * time.Second
	defaultMaxConfirmationAge  = 5 * time.Second
	defaultCrashCountRetention = 10 * time.Minute
)

// withDefaults returns the settings with defaults in place of zero fields.
func (s Settings) withDefaults() Settings {
	return Settings{
		TickInterval:        orDefault(s.TickInterval, defaultTickInterval),
		StoreReadersPerZone: orDefault(s.StoreReadersPerZone, defaultStoreReadersPerZone),
		FanOut:              orDefault(s.FanOut, defaultFanOut),
		ReplyTimeout:        orDefault(s.ReplyTimeout, defaultReplyTimeout),
		SuspectTimeout:      orDefault(s.SuspectTimeout, defaultSuspectTimeout),
		ZoneTimeout:         orDefault(s.ZoneTimeout, defaultZoneTimeout),
		GossipTime:          orDefault(s.GossipTime, defaultGossipTime),
		MinRepairInterval:   orDefault(s.MinRepairInterval, defaultMinRepairInterval),
		MaxConfirmationAge:  orDefault(s.MaxConfirmationAge, defaultMaxConfirmationAge),
		CrashCountRetention: orDefault(s.CrashCountRetention, defaultCrashCountRetention),
	}
}

func orDefault[T int | time.Duration](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}
