package queue

import (
	"cmp"
	"slices"
)

// TeamStatus is what is known of a team's line.
type TeamStatus struct {
	Team string
	// Waiting and Held count the team's requests.
	Queued int
	Held   int
}

// TeamStatuses returns the lines in use, by team.
func (q *Queue[T]) TeamStatuses() []TeamStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	lines := make([]TeamStatus, 0, len(q.teams))
	for _, t := range q.teams {
		lines = append(lines, TeamStatus{
			Team:   t.name,
			Queued: len(t.line),
			Held:   t.held,
		})
	}
	slices.SortFunc(lines, func(a, b TeamStatus) int {
		return cmp.Compare(a.Team, b.Team)
	})
	return lines
}

// ViolationCount returns how many invariants were broken so far.
func (q *Queue[T]) ViolationCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.violations
}
