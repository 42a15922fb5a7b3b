package globallimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// GrantRecord records one grant of one host, or its end if Count is negative.
// The return of tokens has the time of their grant, the release of a slot the
// time of the release.
type GrantRecord struct {
	Limit string
	Host  string
	Time  time.Time
	Count float64
}

// Violation reports grants above a limit.
type Violation struct {
	Limit string
	Time  time.Time
	// Excess is in requests.
	Excess float64
}

// GrantChecker checks the grants of all hosts together against the limits:
// those of a rate over every time window, those of slots at every moment. Tests
// and simulations use it. The zero GrantChecker is ready to use.
type GrantChecker struct {
	// MaxDelay is the longest delay with which records are added, returns
	// included. A record is checked once it is older than that. With zero,
	// Check checks all records.
	MaxDelay time.Duration

	mutex      sync.Mutex
	limits     map[string]*checkedLimit
	violations uint64
}

type checkedLimit struct {
	limit   Limit
	records []GrantRecord
	// available is the number of tokens that a single bucket for the whole
	// limit would have left, or the number of free slots.
	available  float64
	checkedAt  time.Time
	hasRecords bool
}

// checkerTolerance, in requests, absorbs rounding errors in long sums.
const checkerTolerance = 1e-6

// SetLimits sets the limits to check against.
func (c *GrantChecker) SetLimits(limits []Limit) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limits == nil {
		c.limits = make(map[string]*checkedLimit)
	}
	for _, limit := range limits {
		existing, ok := c.limits[limit.Name]
		if !ok {
			c.limits[limit.Name] = &checkedLimit{
				limit:     limit,
				available: limit.capacity(),
			}
			continue
		}
		existing.available += limit.capacity() - existing.limit.capacity()
		existing.limit = limit
	}
}

// Add adds a record. Records of unknown limits are ignored.
func (c *GrantChecker) Add(r GrantRecord) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if limit, ok := c.limits[r.Limit]; ok {
		limit.records = append(limit.records, r)
	}
}

// Check checks the records older than MaxDelay and returns the violations.
//
// The limit holds over all windows if and only if one bucket for the whole
// limit, full at the start, could have granted everything. One pass over the
// records is therefore enough.
func (c *GrantChecker) Check(now time.Time) []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var violations []Violation
	names := make([]string, 0, len(c.limits))
	for name := range c.limits {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		violations = append(violations, c.limits[name].check(now.Add(-c.MaxDelay))...)
	}
	c.violations += uint64(len(violations))
	return violations
}

// ViolationCount returns how many violations have been found so far. It must be
// zero.
func (c *GrantChecker) ViolationCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.violations
}

func (l *checkedLimit) check(until time.Time) []Violation {
	slices.SortStableFunc(l.records, compareRecords)
	var violations []Violation
	checkedCount := 0
	for _, r := range l.records {
		if r.Time.After(until) {
			break
		}
		checkedCount++
		if v, ok := l.apply(r); ok {
			violations = append(violations, v)
		}
	}
	l.records = slices.Delete(l.records, 0, checkedCount)
	return violations
}

// compareRecords orders records by time, with returns before grants of the same
// time.
func compareRecords(a, b GrantRecord) int {
	if order := a.Time.Compare(b.Time); order != 0 {
		return order
	}
	return cmp.Compare(a.Count, b.Count)
}

func (l *checkedLimit) apply(r GrantRecord) (Violation, bool) {
	// Returns are applied before grants of the same time, so available may
	// exceed the capacity until that time has passed.
	if elapsed := r.Time.Sub(l.checkedAt).Seconds(); l.hasRecords && elapsed > 0 {
		l.available = min(l.limit.capacity(), l.available+elapsed*l.limit.refillRate())
	}
	l.hasRecords = true
	l.checkedAt = r.Time
	l.available -= r.Count
	if l.available >= -checkerTolerance {
		return Violation{}, false
	}
	v := Violation{
		Limit:  r.Limit,
		Time:   r.Time,
		Excess: -l.available,
	}
	if _, isSlots := l.limit.Kind.(Slots); !isSlots {
		l.available = 0
	}
	return v, true
}
