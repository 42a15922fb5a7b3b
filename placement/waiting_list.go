package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// waitingList holds queued requests by rank and team. The zero value is empty.
type waitingList struct {
	// levels are in the order in which they are served. They are kept while they are empty.
	levels []*waitingLevel
	count  int
}

// queueRank orders queued requests before their teams do.
type queueRank struct {
	// isLate is true if the response can't be in time any more. Such requests are served last.
	isLate   bool
	priority int
}

func compareRanks(a, b queueRank) int {
	if a.isLate != b.isLate {
		if b.isLate {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.priority, b.priority)
}

// waitingLevel holds the queued requests of one rank.
type waitingLevel struct {
	rank queueRank
	// teams are those with queued requests, in no particular order.
	teams   []*teamQueue
	byTeam  map[*teamAccount]*teamQueue
	workSum workSum
}

// teamQueue holds the queued requests of one rank and team.
type teamQueue struct {
	account *teamAccount
	// index is that of the queue in waitingLevel.teams.
	index int
	// requests are in the order in which they are served.
	requests []*queuedRequest
	workSum  workSum
	// returned is the part of workSum of requests that returned when they were told to.
	returned workSum
}

// workSum is the sum of the slot times of queued requests, in seconds. A request that waits for
// several servers counts as a fraction on each.
type workSum struct {
	seconds float64
	count   int
}

func (w *workSum) add(seconds float64) {
	w.seconds += seconds
	w.count++
}

// remove subtracts what was added. The sum of no requests is exactly zero, so that rounding
// errors don't accumulate.
func (w *workSum) remove(seconds float64) {
	w.seconds -= seconds
	w.count--
	if w.count == 0 {
		w.seconds = 0
	}
}

func (l *waitingList) level(rank queueRank) *waitingLevel {
	at, isKnown := slices.BinarySearchFunc(l.levels, rank, func(level *waitingLevel, rank queueRank) int {
		return compareRanks(level.rank, rank)
	})
	if !isKnown {
		l.levels = slices.Insert(l.levels, at, &waitingLevel{
			rank:   rank,
			byTeam: make(map[*teamAccount]*teamQueue),
		})
	}
	return l.levels[at]
}

// insert adds a request, which counts as the given number of seconds of work.
func (l *waitingList) insert(q *queuedRequest, work float64) {
	l.count++
	level := l.level(q.rank)
	level.workSum.add(work)
	team, isWaiting := level.byTeam[q.account]
	if !isWaiting {
		team = &teamQueue{
			account: q.account,
			index:   len(level.teams),
		}
		level.teams = append(level.teams, team)
		level.byTeam[q.account] = team
	}
	team.workSum.add(work)
	if q.request.isReturn {
		team.returned.add(work)
	}
	at, _ := slices.BinarySearchFunc(team.requests, q, compareQueued)
	team.requests = slices.Insert(team.requests, at, q)
}

// remove removes a request, if it is there, which was added as the given number of seconds of work.
func (l *waitingList) remove(q *queuedRequest, work float64) {
	level := l.level(q.rank)
	team, isWaiting := level.byTeam[q.account]
	if !isWaiting {
		return
	}
	at, isFound := slices.BinarySearchFunc(team.requests, q, compareQueued)
	if !isFound {
		return
	}
	l.count--
	level.workSum.remove(work)
	team.workSum.remove(work)
	if q.request.isReturn {
		team.returned.remove(work)
	}
	team.requests = slices.Delete(team.requests, at, at+1)
	if len(team.requests) == 0 {
		level.removeTeam(team)
	}
}

func (l *waitingLevel) removeTeam(team *teamQueue) {
	last := len(l.teams) - 1
	l.teams[team.index] = l.teams[last]
	l.teams[team.index].index = team.index
	l.teams[last] = nil
	l.teams = l.teams[:last]
	delete(l.byTeam, team.account)
}

// workAhead returns the slot time, in seconds, of the queued requests that are served before a
// new one of the account and rank: all of a rank before, those of the same team (only the returned ones
// if the new request has returned), and of each other team what it is granted until its usage exceeds
// that of the new request's team.
func (l *waitingList) workAhead(accounts *teamAccounts, account *teamAccount, rank queueRank, isReturn bool, now time.Time) float64 {
	ahead := 0.0
	for _, level := range l.levels {
		order := compareRanks(level.rank, rank)
		if order < 0 {
			ahead += level.workSum.seconds
		}
		if order == 0 {
			ahead += level.workAhead(accounts, account, isReturn, now)
		}
	}
	return ahead
}

func (l *waitingLevel) workAhead(accounts *teamAccounts, account *teamAccount, isReturn bool, now time.Time) float64 {
	if len(l.teams) == 0 {
		return 0
	}
	own := 0.0
	if team, isWaiting := l.byTeam[account]; isWaiting {
		own = team.workSum.seconds
		if isReturn {
			own = team.returned.seconds
		}
	}
	ahead := own
	usage := accounts.normalizedUsage(account, now) + own/accounts.weightOf(account)
	for _, team := range l.teams {
		lead := usage - accounts.normalizedUsage(team.account, now)
		if team.account == account || lead < 0 {
			continue
		}
		// The last request that is granted before takes the usage past that of the new one.
		granted := lead*accounts.weightOf(team.account) + team.requests[0].work()
		ahead += min(granted, team.workSum.seconds)
	}
	return ahead
}

// teamCursor is a team's next request while a level is gone through.
type teamCursor struct {
	team *teamQueue
	next int
	// usage is the team's normalized usage.
	usage float64
}

func (c *teamCursor) request() *queuedRequest { return c.team.requests[c.next] }

// teamCursors is a heap, the first of which is that of the request to serve next.
type teamCursors []teamCursor

var _ heap.Interface = (*teamCursors)(nil)

// Len returns the number of teams.
func (c teamCursors) Len() int { return len(c) }

// Less orders teams by their usage, and those of equal usage by the arrival of their requests.
func (c teamCursors) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(c[i].usage, c[j].usage), cmp.Compare(c[i].request().sequence, c[j].request().sequence)) < 0
}

// Swap exchanges two teams.
func (c teamCursors) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push appends a team; it is called by container/heap.
func (c *teamCursors) Push(x any) { *c = append(*c, x.(teamCursor)) }

// Pop removes and returns the last team; it is called by container/heap.
func (c *teamCursors) Pop() any {
	last := len(*c) - 1
	cursor := (*c)[last]
	*c = (*c)[:last]
	return cursor
}

// forEach calls try for the queued requests in the order in which they are served, until try
// returns false. Apart from charging the request's team, try may remove the request, or remove
// and insert it, at a later rank also, but no other one.
func (l *waitingList) forEach(accounts *teamAccounts, now time.Time, try func(*queuedRequest) bool) {
	if l.count == 0 {
		return
	}
	for i := 0; i < len(l.levels); i++ {
		if !l.levels[i].forEach(accounts, now, try) {
			return
		}
	}
}

func (l *waitingLevel) forEach(accounts *teamAccounts, now time.Time, try func(*queuedRequest) bool) bool {
	cursors := make(teamCursors, 0, len(l.teams))
	for _, team := range l.teams {
		cursors = append(cursors, teamCursor{
			team:  team,
			usage: accounts.normalizedUsage(team.account, now),
		})
	}
	heap.Init(&cursors)
	for len(cursors) > 0 {
		first := &cursors[0]
		q := first.request()
		if !try(q) {
			return false
		}
		first.usage = accounts.normalizedUsage(first.team.account, now)
		if first.next < len(first.team.requests) && first.request() == q {
			first.next++
		}
		if first.next < len(first.team.requests) {
			heap.Fix(&cursors, 0)
			continue
		}
		heap.Pop(&cursors)
	}
	return true
}
