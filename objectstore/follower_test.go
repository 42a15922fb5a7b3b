package objectstore_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// script is a source that answers with prepared steps, and then waits.
type script struct {
	mu    sync.Mutex
	steps []step
	asked []objectstore.Version
}

type step struct {
	snapshot bool
	changes  objectstore.Changes
	err      error
}

// grace is how long the followers here keep what lapsed.
const grace = 2 * time.Second

var errDown = errors.New("down")

func (s *script) next(ctx context.Context, snapshot bool, wait time.Duration) (objectstore.Changes, error) {
	now, isPrepared := s.take(snapshot)
	if !isPrepared {
		select {
		case <-ctx.Done():
			return objectstore.Changes{}, ctx.Err()
		case <-time.After(wait):
			return objectstore.Changes{}, nil
		}
	}
	return now.changes, now.err
}

// take returns the next step if it is of the kind that is asked for.
func (s *script) take(snapshot bool) (step, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 || s.steps[0].snapshot != snapshot {
		return step{}, false
	}
	now := s.steps[0]
	s.steps = s.steps[1:]
	return now, true
}

// prepare sets the next steps.
func (s *script) prepare(steps ...step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = steps
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
		Source:      source,
		Prefix:      "servers/",
		GracePeriod: grace,
		OnChange: func(objects map[string]objectstore.Object) {
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
			OnChange: func(objects map[string]objectstore.Object) {
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
			Source:      source,
			GracePeriod: grace,
			OnChange: func(objects map[string]objectstore.Object) {
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
		require.InDelta(t, grace, dropped, float64(500*time.Millisecond))
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

// TestFollowerAsksAgainWhenOthersKnowMore answers a watch that misses a change
// without an error.
func TestFollowerAsksAgainWhenOthersKnowMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("a", 2)),
				},
			},
		}
		follower := objectstore.Follower{
			Source:   source,
			OnChange: func(map[string]objectstore.Object) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(ctx)
		}()
		time.Sleep(time.Second)
		require.Equal(t, objectstore.UpToDate, follower.PlanCatchUp(5, 0))
		require.Equal(t, objectstore.RefreshFromStore, follower.PlanCatchUp(9, 0))
		require.Equal(t, objectstore.FetchPending, follower.PlanCatchUp(9, 0))
		source.prepare(
			step{
				err: &objectstore.HistoryGoneError{},
			},
			step{
				snapshot: true,
				changes:  changes(9, at("a", 2), at("b", 9)),
			},
		)
		follower.Refresh()
		time.Sleep(time.Second)
		require.Len(t, follower.Copy().Objects, 2)
		require.Equal(t, objectstore.Version(9), follower.LastChangeVersion())
		require.Equal(t, objectstore.UpToDate, follower.PlanCatchUp(9, 0))
		cancel()
		<-done
	})
}

func TestFollowerTakesANewerCopyOfAnotherAndNoOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen []string
		follower := objectstore.Follower{
			Source: &script{},
			OnChange: func(objects map[string]objectstore.Object) {
				seen = slices.Sorted(maps.Keys(objects))
			},
		}
		follower.ReplaceIfNewer(changes(9, at("a", 2), at("b", 9)))
		require.Equal(t, []string{"a", "b"}, seen)
		follower.ReplaceIfNewer(changes(8, at("a", 2)))
		require.Equal(t, []string{"a", "b"}, seen)
		follower.ReplaceIfNewer(changes(12, at("b", 9)))
		require.Equal(t, []string{"b"}, seen)
		require.Equal(t, objectstore.Version(12), follower.Copy().Next)
	})
}

// TestFollowerLetsACallHaveItsTime answers beats of many hosts that tell of the same
// change: each new call would end the one before.
func TestFollowerLetsACallHaveItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := objectstore.Follower{
			Source:   &script{},
			OnChange: func(map[string]objectstore.Object) {},
		}
		follower.ReplaceIfNewer(changes(5, at("a", 2)))
		steps := make(map[objectstore.CatchUpAction]int)
		for range 20 {
			steps[follower.PlanCatchUp(9, 0)]++
			time.Sleep(80 * time.Millisecond)
		}
		require.Equal(t, 1, steps[objectstore.RefreshFromStore])
		require.Equal(t, 2, steps[objectstore.CopyFromPeer])
		require.Equal(t, 17, steps[objectstore.FetchPending])
	})
}

// TestAFollowerTellsOthersItsChanges has one follower follow another.
func TestAFollowerTellsOthersItsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &objectstore.Follower{
			Source: &script{
				steps: []step{
					{
						snapshot: true,
						changes:  changes(5, at("a", 2)),
					},
					{
						changes: changes(9, at("b", 8), gone("a", 9)),
					},
				},
			},
			OnChange: func(map[string]objectstore.Object) {},
		}
		_, err := reader.WaitForChanges(t.Context(), 0, 0)
		var stale *objectstore.StaleError
		require.ErrorAs(t, err, &stale)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reader.Run(ctx)
		seen, err := reader.WaitForChanges(t.Context(), 5, time.Second)
		require.NoError(t, err)
		require.Equal(t, objectstore.Version(9), seen.Next)
		require.Equal(t, []objectstore.Object{at("b", 8), gone("a", 9)}, seen.Objects)
		seen, err = reader.WaitForChanges(t.Context(), 9, time.Second)
		require.NoError(t, err)
		require.Empty(t, seen.Objects)
		_, err = reader.WaitForChanges(t.Context(), 4, time.Second)
		var history *objectstore.HistoryGoneError
		require.ErrorAs(t, err, &history)
	})
}

func TestThoseWhoFollowAFollowerLearnThatTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("a", 2)),
				},
			},
		}
		reader := &objectstore.Follower{
			Source:   source,
			OnChange: func(map[string]objectstore.Object) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			reader.Run(ctx)
		}()
		synctest.Wait()
		told := make(chan error, 1)
		go func() {
			_, err := reader.WaitForChanges(t.Context(), 5, time.Minute)
			told <- err
		}()
		synctest.Wait()
		source.prepare(step{
			err: errDown,
		})
		reader.Refresh()
		var stale *objectstore.StaleError
		require.ErrorAs(t, <-told, &stale)
		cancel()
		<-done
	})
}

// TestALapsedObjectIsKeptByThoseWhoFollowToo has a follower of a follower that has seen
// no outage itself.
func TestALapsedObjectIsKeptByThoseWhoFollowToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lapsed := gone("a", 7)
		lapsed.RemovedDuringOutage = true
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("a", 2)),
				},
				{
					changes: changes(8, lapsed),
				},
			},
		}
		seen := follow(t, grace-time.Millisecond, source)
		require.Equal(t, []string{"a"}, seen[len(seen)-1])
		source.prepare(
			step{
				snapshot: true,
				changes:  changes(5, at("a", 2)),
			},
			step{
				changes: changes(8, lapsed),
			},
		)
		seen = follow(t, 2*grace, source)
		require.Empty(t, seen[len(seen)-1])
	})
}

// TestAFollowerWaitsForWhatIsOnItsWay answers beats that are faster than the way that
// changes come by.
func TestAFollowerWaitsForWhatIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 500 * time.Millisecond
		follower := objectstore.Follower{
			Source:   &script{},
			OnChange: func(map[string]objectstore.Object) {},
		}
		follower.ReplaceIfNewer(changes(5, at("a", 2)))
		for version := objectstore.Version(6); version < 40; version++ {
			require.Equal(t, objectstore.FetchPending, follower.PlanCatchUp(version, patience))
			time.Sleep(100 * time.Millisecond)
			follower.ReplaceIfNewer(changes(version, at("a", version)))
		}
		require.Equal(t, objectstore.FetchPending, follower.PlanCatchUp(50, patience))
		time.Sleep(patience)
		require.Equal(t, objectstore.RefreshFromStore, follower.PlanCatchUp(50, patience))
	})
}

// TestWhatNobodyRenewsIsDroppedAtOnce answers an evacuation that was taken back while
// this host was cut off from the store.
func TestWhatNobodyRenewsIsDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &script{
			steps: []step{
				{
					snapshot: true,
					changes:  changes(5, at("zone", 2)),
				},
				{
					err: errDown,
				},
				{
					changes: changes(8, gone("zone", 7)),
				},
			},
		}
		start := time.Now()
		var dropped time.Duration
		follower := objectstore.Follower{
			Source: source,
			OnChange: func(objects map[string]objectstore.Object) {
				if len(objects) == 0 {
					dropped = time.Since(start)
				}
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		require.NotZero(t, dropped)
		require.Less(t, dropped, time.Second)
	})
}
