package queue

import (
	"cmp"
	"slices"
)

// TeamStatus counts the queued requests and held grants of a team.
type TeamStatus struct {
	Team string
	// Queued is the number of queued requests; Held is the number of grants that
	// are not yet released.
	Queued int
	Held   int
}

// TeamStatuses returns the status of each team that has used the queue, sorted by
// team.
func (q *Queue[T]) TeamStatuses() []TeamStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	statuses := make([]TeamStatus, 0, len(q.teams))
	for _, t := range q.teams {
		statuses = append(statuses, TeamStatus{
			Team:   t.name,
			Queued: len(t.waiters),
			Held:   t.grantsHeld,
		})
	}
	slices.SortFunc(statuses, func(a, b TeamStatus) int {
		return cmp.Compare(a.Team, b.Team)
	})
	return statuses
}

// ViolationCount returns the number of violated invariants so far.
func (q *Queue[T]) ViolationCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.violationCount
}
