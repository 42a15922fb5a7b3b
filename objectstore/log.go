package objectstore

import (
	"context"
	"time"
)

// maxLogged is how many changes a follower remembers for others.
const maxLogged = 2048

// changeLog is the recent changes of a follower, for those who follow it.
type changeLog struct {
	changes []Object
	// from is the version that the changes follow on, to the one that they reach.
	from Version
	to   Version
	// grown is closed when a change comes.
	grown chan struct{}
}

func (l *changeLog) add(o Object) {
	l.changes = append(l.changes, o)
	if len(l.changes) > maxLogged {
		half := len(l.changes) / 2
		l.from = max(l.from, l.changes[half-1].Version)
		l.changes = append([]Object(nil), l.changes[half:]...)
	}
	l.wake()
}

// reach notes that nothing but the logged changes happened up to the version.
func (l *changeLog) reach(to Version) {
	l.to = max(l.to, to)
}

// restart forgets all changes up to the version.
func (l *changeLog) restart(from Version) {
	l.changes = nil
	l.from, l.to = from, from
	l.wake()
}

func (l *changeLog) wake() {
	if l.grown != nil {
		close(l.grown)
		l.grown = nil
	}
}

// since returns the changes after the version, false if they are not known.
func (l *changeLog) since(after Version) (Changes, bool) {
	if after < l.from || l.to == 0 {
		return Changes{}, false
	}
	found := Changes{
		Next: max(after, l.to),
	}
	for _, o := range l.changes {
		if o.Version > after {
			found.Objects = append(found.Objects, o)
		}
	}
	return found, true
}

// StaleError reports that a follower does not know what the store holds now.
type StaleError struct {
	Prefix string
}

func (e *StaleError) Error() string {
	return "the copy of " + e.Prefix + " is not up to date"
}

// Since waits until a change after the version is known, or the wait is over, and
// returns the changes as a watch of the store does. It returns a
// [HistoryGoneError] if they are not known one by one, and a [StaleError] while the
// store does not answer.
func (f *Follower) WaitForChanges(ctx context.Context, after Version, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, grown, err := f.since(after)
		if err != nil || len(found.Objects) > 0 {
			return found, err
		}
		select {
		case <-grown:
		case <-timer.C:
			found, _, err = f.since(after)
			return found, err
		case <-ctx.Done():
			return Changes{}, &StaleError{
				Prefix: f.Prefix,
			}
		}
	}
}

func (f *Follower) since(after Version) (Changes, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing.IsZero() || f.next == 0 {
		return Changes{}, nil, &StaleError{
			Prefix: f.Prefix,
		}
	}
	found, isKnown := f.log.since(after)
	if !isKnown {
		return Changes{}, nil, &HistoryGoneError{
			Key: f.Prefix,
		}
	}
	if f.log.grown == nil {
		f.log.grown = make(chan struct{})
	}
	return found, f.log.grown, nil
}
