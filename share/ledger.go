package share

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// GrantRecord is one grant of one host, or the return of one if Count is negative.
// A returned grant is recorded with the time of the grant.
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

// GrantChecker checks the grants of all hosts together against the limits: for a rate,
// over every window; for slots, at every moment. The zero GrantChecker is ready.
type GrantChecker struct {
	// MaxDelay is how long records may arrive late, or be returned. Records are
	// checked once they are older. Zero means that Check checks all.
	MaxDelay time.Duration

	mutex      sync.Mutex
	limits     map[string]*ledgerLimit
	violations uint64
}

type ledgerLimit struct {
	limit   Limit
	records []GrantRecord
	// level is the tokens that a single bucket of the whole limit would have
	// left, or the slots free.
	level   float64
	checked time.Time
	started bool
}

// ledgerRounding forgives rounding errors of many sums, in requests.
const ledgerRounding = 1e-6

// SetLimits says what to check against.
func (l *GrantChecker) SetLimits(limits []Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limits == nil {
		l.limits = make(map[string]*ledgerLimit)
	}
	for _, limit := range limits {
		known, ok := l.limits[limit.Name]
		if !ok {
			l.limits[limit.Name] = &ledgerLimit{
				limit: limit,
				level: limit.size(),
			}
			continue
		}
		known.level += limit.size() - known.limit.size()
		known.limit = limit
	}
}

// Add records a grant or its return. Records of unknown limits are ignored.
func (l *GrantChecker) Add(r GrantRecord) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if limit, ok := l.limits[r.Limit]; ok {
		limit.records = append(limit.records, r)
	}
}

// Check checks the records older than the delay and returns the violations.
//
// All windows hold if and only if one bucket of the whole limit, full at the
// start, could have granted everything; so each record is looked at once.
func (l *GrantChecker) Check(now time.Time) []Violation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var violations []Violation
	names := make([]string, 0, len(l.limits))
	for name := range l.limits {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		violations = append(violations, l.limits[name].check(now.Add(-l.MaxDelay))...)
	}
	l.violations += uint64(len(violations))
	return violations
}

// Violations returns how many violations were found so far; it must be zero.
func (l *GrantChecker) Violations() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.violations
}

func (l *ledgerLimit) check(until time.Time) []Violation {
	slices.SortStableFunc(l.records, inOrder)
	var violations []Violation
	done := 0
	for _, r := range l.records {
		if r.Time.After(until) {
			break
		}
		done++
		if v, ok := l.apply(r); ok {
			violations = append(violations, v)
		}
	}
	l.records = slices.Delete(l.records, 0, done)
	return violations
}

// inOrder puts returns before grants of the same moment.
func inOrder(a, b GrantRecord) int {
	if order := a.Time.Compare(b.Time); order != 0 {
		return order
	}
	return cmp.Compare(a.Count, b.Count)
}

func (l *ledgerLimit) apply(r GrantRecord) (Violation, bool) {
	// Returns come before the grants of their moment, so the level may stand
	// above the size until the moment is over.
	if passed := r.Time.Sub(l.checked).Seconds(); l.started && passed > 0 {
		l.level = min(l.limit.size(), l.level+passed*l.limit.perSecond())
	}
	l.started = true
	l.checked = r.Time
	l.level -= r.Count
	if l.level >= -ledgerRounding {
		return Violation{}, false
	}
	v := Violation{
		Limit:  r.Limit,
		Time:   r.Time,
		Excess: -l.level,
	}
	if _, slots := l.limit.Kind.(Slots); !slots {
		l.level = 0
	}
	return v, true
}
