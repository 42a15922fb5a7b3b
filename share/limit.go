package share

import "time"

// Kind is what a limit counts: [Rate] or [Slots].
type Kind interface{ kind() }

// Rate limits requests per second with a burst: over any window of t seconds
// at most Burst + PerSecond*t are granted.
type Rate struct {
	// PerSecond is in requests per second.
	PerSecond float64
	// Burst is in requests.
	Burst float64
}

// Slots limits the requests that run at once.
type Slots struct {
	// Count is in requests.
	Count float64
	// MaxDuration is how long a request may keep its slot. The host must end a
	// request at this age, because its slots are given to others later than
	// that when the host is lost.
	MaxDuration time.Duration
}

func (Rate) kind()  {}
func (Slots) kind() {}

// Limit is a limit over all hosts together.
type Limit struct {
	// Name is the same on all hosts, for example "team/chain".
	Name string
	Kind Kind
}

// size is the most tokens or slots that exist at once.
func (l Limit) size() float64 {
	switch k := l.Kind.(type) {
	case Rate:
		return k.Burst
	case Slots:
		return k.Count
	default:
		return 0
	}
}

// perSecond is how fast tokens come back, zero for slots.
func (l Limit) perSecond() float64 {
	if k, ok := l.Kind.(Rate); ok {
		return k.PerSecond
	}
	return 0
}

// overrun is how long what was granted may stay in use after the right to
// grant has ended.
func (l Limit) overrun() time.Duration {
	if k, ok := l.Kind.(Slots); ok {
		return k.MaxDuration
	}
	return 0
}
