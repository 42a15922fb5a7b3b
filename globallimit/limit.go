package globallimit

import "time"

// Kind is what a limit counts: [Rate] or [Slots].
type Kind interface{ kind() }

// Rate limits the rate of requests: in any window of t seconds, at most Burst +
// PerSecond*t requests are granted.
type Rate struct {
	// PerSecond is in requests per second.
	PerSecond float64
	// Burst is in requests.
	Burst float64
}

// Slots limits the number of requests that run at the same time.
type Slots struct {
	// Count is in requests.
	Count float64
	// MaxDuration is how long a request may keep its slot. The host must end a
	// request at this age, because the slots of a lost host are given to other
	// hosts after that time.
	MaxDuration time.Duration
}

func (Rate) kind()  {}
func (Slots) kind() {}

// Limit is a fleet-wide limit: it holds for the requests of all hosts together.
type Limit struct {
	// Name is the same on all hosts, for example "team/checkout".
	Name string
	Kind Kind
}

// capacity returns the largest number of tokens or slots.
func (l Limit) capacity() float64 {
	switch k := l.Kind.(type) {
	case Rate:
		return k.Burst
	case Slots:
		return k.Count
	default:
		return 0
	}
}

// refillRate returns the tokens added per second, zero for slots.
func (l Limit) refillRate() float64 {
	if k, ok := l.Kind.(Rate); ok {
		return k.PerSecond
	}
	return 0
}

// maxRequestDuration returns how long a granted request may still run after the
// host's right to grant has ended.
func (l Limit) maxRequestDuration() time.Duration {
	if k, ok := l.Kind.(Slots); ok {
		return k.MaxDuration
	}
	return 0
}
