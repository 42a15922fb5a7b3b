package queue

import "time"

const (
	// reserveShare is the part of the capacity, as one in so many, that is
	// kept from the team that holds the most for its weight.
	reserveShare = 4
	// activeTime is how long a team counts as active after its last request.
	activeTime = 10 * time.Second
	// activeCount is how often the active teams are counted.
	activeCount = time.Second
)

// next returns the team whose request is granted next, or nil if only the top
// team waits and may not use the reserve.
func (q *Queue[T]) next() *team[T] {
	first := q.waiting[0]
	if q.eligible(first) {
		return first
	}
	first = nil
	for _, t := range q.waiting {
		if q.eligible(t) && (first == nil || t.before(first)) {
			first = t
		}
	}
	return first
}

// eligible reports whether the team may get a grant: it is not the top team,
// or it holds about its part of the capacity, or the reserve stays whole. The
// part of a team that is alone is the whole. One more than the part is allowed,
// since a grant that is about to be released may be free already.
func (q *Queue[T]) eligible(t *team[T]) bool {
	if q.Capacity == nil || t != q.top || q.active <= t.weight {
		return true
	}
	capacity := q.Capacity()
	if float64(t.held-1)*q.active <= float64(capacity)*t.weight {
		return true
	}
	reserve := (capacity + reserveShare/2) / reserveShare
	return q.held < capacity-reserve
}

// raiseTop notes that the team holds one more.
func (q *Queue[T]) raiseTop(t *team[T]) {
	if t.held == 1 {
		t.holds = len(q.holding)
		q.holding = append(q.holding, t)
	}
	if q.top == nil || t.part() > q.top.part() {
		q.top = t
	}
}

// lowerTop notes that the team holds one less.
func (q *Queue[T]) lowerTop(t *team[T]) {
	if t.held == 0 {
		last := q.holding[len(q.holding)-1]
		q.holding[t.holds] = last
		last.holds = t.holds
		q.holding = q.holding[:len(q.holding)-1]
	}
	if t != q.top {
		return
	}
	q.top = nil
	for _, other := range q.holding {
		if q.top == nil || other.part() > q.top.part() {
			q.top = other
		}
	}
}

// countActive adds up the weights of the active teams now and then.
func (q *Queue[T]) countActive(now time.Time) {
	if now.Sub(q.activeSince) < activeCount {
		return
	}
	q.activeSince = now
	q.active = 0
	for _, t := range q.teams {
		if t.held > 0 || now.Sub(t.seen) < activeTime {
			q.active += t.weight
		}
	}
}
