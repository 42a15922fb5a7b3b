package store

import (
	"maps"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Faults are the failures in force. The zero value is a healthy store.
type Faults struct {
	// Down makes every call to the object store fail as not reached.
	Down bool
	// ListDown does the same to the list of machines.
	ListDown bool
	// Delay is added to each call, half before it takes effect and half after.
	Delay time.Duration
	// LoseReplies is how many of the next writes take effect without an answer;
	// negative means all of them.
	LoseReplies int
	// StaleWatch makes watches see nothing newer than when it was set.
	StaleWatch bool
	// StaleReads makes gets and lists see nothing newer than when it was set.
	StaleReads bool
}

// stale tells whether any call sees the past.
func (f Faults) stale() bool { return f.StaleWatch || f.StaleReads }

// downError says why a call to a store that is down failed.
type downError struct{}

func (*downError) Error() string { return "the store is down" }

// lostReplyError says why the outcome of a write is unknown.
type lostReplyError struct{}

func (*lostReplyError) Error() string { return "the reply was lost" }

// SetFaults replaces the faults in force. Calls that wait notice it.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if faults.stale() && !m.faults.stale() {
		m.past = maps.Clone(m.objects)
		m.pastVersion = m.version
	}
	m.faults = faults
	m.announce()
}

// Faults returns the faults in force.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// checkUp reports a store that is down.
func (m *Memory) checkUp(key string) error {
	if !m.Faults().Down {
		return nil
	}
	return unreached(key, &downError{})
}

// checkListUp reports a list of machines that is down.
func (m *Memory) checkListUp() error {
	if !m.Faults().ListDown {
		return nil
	}
	return unreached("machines", &downError{})
}

// loseReply tells whether the reply to this write is lost. The caller holds
// the lock.
func (m *Memory) loseReply() bool {
	if m.faults.LoseReplies == 0 {
		return false
	}
	if m.faults.LoseReplies > 0 {
		m.faults.LoseReplies--
	}
	return true
}

func unreached(key string, cause error) error {
	return &objectstore.UnavailableError{
		Key:   key,
		Cause: cause,
	}
}

func unknownOutcome(key string, cause error) error {
	return &objectstore.UnknownOutcomeError{
		Key:   key,
		Cause: cause,
	}
}
