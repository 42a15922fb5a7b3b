package objectstore_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// script is a source that answers with prepared steps, and then waits.
type script struct {
	steps []step
	asked []objectstore.Version
}

type step struct {
	snapshot bool
	changes  objectstore.Changes
	err      error
}

var errDown = errors.New("down")

func (s *script) next(ctx context.Context, snapshot bool, wait time.Duration) (objectstore.Changes, error) {
	if len(s.steps) == 0 || s.steps[0].snapshot != snapshot {
		select {
		case <-ctx.Done():
			return objectstore.Changes{}, ctx.Err()
		case <-time.After(wait):
			return objectstore.Changes{}, nil
		}
	}
	now := s.steps[0]
	s.steps = s.steps[1:]
	return now.changes, now.err
}

func (s *script) Snapshot(ctx context.Context, _ string) (objectstore.Changes, error) {
	s.asked = append(s.asked, 0)
	return s.next(ctx, true, time.Hour)
}

func (s *script) Watch(ctx context.Context, _ string, after objectstore.Version, wait time.Duration) (objectstore.Changes, error) {
	s.asked = append(s.asked, after)
	return s.next(ctx, false, wait)
}

func changes(next objectstore.Version, objects ...objectstore.Object) objectstore.Changes {
	return objectstore.Changes{
		Objects: objects,
		Next:    next,
	}
}

func at(key string, version objectstore.Version) objectstore.Object {
	return objectstore.Object{
		Key:     key,
		Version: version,
	}
}

func gone(key string, version objectstore.Version) objectstore.Object {
	o := at(key, version)
	o.Deleted = true
	return o
}

// follow plays the steps for the span and returns the keys after each change.
func follow(t *testing.T, span time.Duration, source *script) [][]string {
	t.Helper()
	var seen [][]string
	follower := objectstore.Follower{
		Source: source,
		Prefix: "servers/",
		Changed: func(objects map[string]objectstore.Object) {
			seen = append(seen, slices.Sorted(maps.Keys(objects)))
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	follower.Run(ctx)
	return seen
}

func TestFollowerListsOnceAndThenWatchesOnFromEachAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("a", 2), at("b", 4)),
				},
				{
					changes: changes(9, at("c", 8), gone("a", 9)),
				},
			},
		}
		seen := follow(t, time.Second, source)
		require.Equal(t, [][]string{{"a", "b"}, {"b", "c"}}, seen)
		require.Equal(t, []objectstore.Version{0, 5, 9}, source.asked)
	})
}

func TestFollowerListsAgainWhenTheHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("a", 2)),
				},
				{
					err: &objectstore.HistoryGoneError{
						Key: "servers/",
					},
				},
				{
					snapshot: true,
					changes:  changes(30, at("b", 20)),
				},
			},
		}
		seen := follow(t, time.Second, source)
		require.Equal(t, [][]string{{"a"}, {"b"}}, seen)
		require.Equal(t, []objectstore.Version{0, 5, 0, 30}, source.asked)
	})
}

func TestFollowerKeepsWhatAStaleListOrAnOldEventWouldTakeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var versions []objectstore.Version
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(9, at("a", 8)),
				},
				{
					changes: changes(9, at("a", 3)),
				},
				{
					err: &objectstore.HistoryGoneError{},
				},
				{
					snapshot: true,
					changes:  changes(7, at("a", 6)),
				},
			},
		}
		follower := objectstore.Follower{
			Source: source,
			Changed: func(objects map[string]objectstore.Object) {
				versions = append(versions, objects["a"].Version)
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		follower.Run(ctx)
		require.Equal(t, []objectstore.Version{8, 8}, versions)
	})
}

func TestFollowerKeepsObjectsThatLapsedInAnOutageForTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("alive", 2), at("dead", 3)),
				},
				{
					err: errDown,
				},
				{
					changes: changes(8, gone("alive", 7), gone("dead", 8)),
				},
				{
					changes: changes(9, at("alive", 9)),
				},
			},
		}
		start := time.Now()
		var dropped time.Duration
		follower := objectstore.Follower{
			Source: source,
			Changed: func(objects map[string]objectstore.Object) {
				_, isKept := objects["dead"]
				require.Contains(t, objects, "alive")
				if !isKept && dropped == 0 {
					dropped = time.Since(start)
				}
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		require.InDelta(t, objectstore.DefaultGrace, dropped, float64(500*time.Millisecond))
	})
}

func TestFollowerDropsAtOnceWithoutAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("a", 2)),
				},
				{
					changes: changes(8, gone("a", 7)),
				},
			},
		}
		require.Equal(t, [][]string{{"a"}, {}}, followNonNil(follow(t, time.Second, source)))
	})
}

// followNonNil gives empty lists of keys one spelling.
func followNonNil(seen [][]string) [][]string {
	for i := range seen {
		if seen[i] == nil {
			seen[i] = []string{}
		}
	}
	return seen
}
