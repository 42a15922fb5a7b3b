package fleet

import "time"

// Settings tune a [Node]. Each zero field means its default; all hosts of a
// fleet set the same.
type Settings struct {
	// TickInterval is the time between ticks; 500 ms.
	TickInterval time.Duration
	// StoreReadersPerZone is how many hosts of each zone watch the store; 3.
	StoreReadersPerZone int
	// FanOut is how many hosts poll the same parent; 4.
	FanOut int
	// ReplyTimeout is how long an answer may take; 1 s.
	ReplyTimeout time.Duration
	// SuspectTimeout is how long a suspect has to refute; 5 s.
	SuspectTimeout time.Duration
	// ZoneTimeout is how long a zone may be silent before its hosts no longer
	// count as live; 8 s.
	ZoneTimeout time.Duration
	// GossipTime is how long a change is repeated in messages; 6 s.
	GossipTime time.Duration
	// MinRepairInterval is the least time between two repairs of the member
	// records; 3 s.
	MinRepairInterval time.Duration
	// MaxConfirmationAge is the age past which a view is not acted on; 5 s.
	MaxConfirmationAge time.Duration
	// CrashCountRetention is how long a notice counts; 10 min.
	CrashCountRetention time.Duration
}

// The defaults of [Settings].
const (
	defaultInterval       = 500 * time.Millisecond
	defaultReaders        = 4
	defaultFanOut         = 3
	defaultReplyTimeout   = time.Second
	defaultSuspectTimeout = 5 * time.Second
	defaultZoneTimeout    = 8 * time.Second
	defaultRumorTime      = 6 * time.Second
	defaultRepairInterval = 3 * time.Second
	defaultConfirmBound   = 5 * time.Second
	defaultNoticeTime     = 10 * time.Minute
)

// withDefaults returns the settings with every field set.
func (s Settings) withDefaults() Settings {
	return Settings{
		TickInterval:        orDefault(s.TickInterval, defaultInterval),
		StoreReadersPerZone: orDefault(s.StoreReadersPerZone, defaultReaders),
		FanOut:              orDefault(s.FanOut, defaultFanOut),
		ReplyTimeout:        orDefault(s.ReplyTimeout, defaultReplyTimeout),
		SuspectTimeout:      orDefault(s.SuspectTimeout, defaultSuspectTimeout),
		ZoneTimeout:         orDefault(s.ZoneTimeout, defaultZoneTimeout),
		GossipTime:          orDefault(s.GossipTime, defaultRumorTime),
		MinRepairInterval:   orDefault(s.MinRepairInterval, defaultRepairInterval),
		MaxConfirmationAge:  orDefault(s.MaxConfirmationAge, defaultConfirmBound),
		CrashCountRetention: orDefault(s.CrashCountRetention, defaultNoticeTime),
	}
}

func orDefault[T int | time.Duration](value, standard T) T {
	if value > 0 {
		return value
	}
	return standard
}
