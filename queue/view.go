package queue

import (
	"cmp"
	"slices"
)

// Line is what is known of a team's line.
type Line struct {
	Team string
	// Waiting and Held count the team's requests.
	Waiting int
	Held    int
}

// Lines returns the lines in use, by team.
func (q *Queue[T]) Lines() []Line {
	q.mu.Lock()
	defer q.mu.Unlock()
	lines := make([]Line, 0, len(q.teams))
	for _, t := range q.teams {
		lines = append(lines, Line{
			Team:    t.name,
			Waiting: len(t.line),
			Held:    t.held,
		})
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Compare(a.Team, b.Team)
	})
	return lines
}

// Violations returns how many invariants were broken so far.
func (q *Queue[T]) Violations() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.violations
}
