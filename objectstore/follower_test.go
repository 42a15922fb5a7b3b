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

// scriptedSource returns prepared results in order. A call for which none is prepared
// waits until its wait time is over or its context ends.
type scriptedSource struct {
	mu                sync.Mutex
	results           []preparedResult
	requestedVersions []objectstore.Version
}

type preparedResult struct {
	snapshot bool
	changes  objectstore.VersionedObjects
	err      error
}

// gracePeriod is how long followers keep objects that may have been removed because of an outage.
const gracePeriod = 2 * time.Second

var errStoreDown = errors.New("down")

func (s *scriptedSource) respond(ctx context.Context, snapshot bool, wait time.Duration) (objectstore.VersionedObjects, error) {
	prepared, isPrepared := s.popResult(snapshot)
	if !isPrepared {
		select {
		case <-ctx.Done():
			return objectstore.VersionedObjects{}, ctx.Err()
		case <-time.After(wait):
			return objectstore.VersionedObjects{}, nil
		}
	}
	return prepared.changes, prepared.err
}

// popResult returns the next prepared result if it is of the requested kind.
func (s *scriptedSource) popResult(snapshot bool) (preparedResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.results) == 0 || s.results[0].snapshot != snapshot {
		return preparedResult{}, false
	}
	next := s.results[0]
	s.results = s.results[1:]
	return next, true
}

// prepare sets the results of the next calls.
func (s *scriptedSource) prepare(results ...preparedResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = results
}

func (s *scriptedSource) Snapshot(ctx context.Context, _ string) (objectstore.VersionedObjects, error) {
	s.requestedVersions = append(s.requestedVersions, 0)
	return s.respond(ctx, true, time.Hour)
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, after objectstore.Version, wait time.Duration) (objectstore.VersionedObjects, error) {
	s.requestedVersions = append(s.requestedVersions, after)
	return s.respond(ctx, false, wait)
}

func newChanges(next objectstore.Version, objects ...objectstore.Object) objectstore.VersionedObjects {
	return objectstore.VersionedObjects{
		Objects: objects,
		Next:    next,
	}
}

func newObject(key string, version objectstore.Version) objectstore.Object {
	return objectstore.Object{
		Key:     key,
		Version: version,
	}
}

func newDeletion(key string, version objectstore.Version) objectstore.Object {
	o := newObject(key, version)
	o.Deleted = true
	return o
}

// runFollower runs a follower of the source for the duration and returns the keys of its
// objects after each change.
func runFollower(t *testing.T, duration time.Duration, source *scriptedSource) [][]string {
	t.Helper()
	var seen [][]string
	follower := objectstore.Follower{
		Source:      source,
		Prefix:      "servers/",
		GracePeriod: gracePeriod,
		OnChange: func(objects map[string]objectstore.Object) {
			seen = append(seen, slices.Sorted(maps.Keys(objects)))
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	follower.Run(ctx)
	return seen
}

func TestFollowerListsOnceAndWatchesFromEachReturnedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("a", 2), newObject("b", 4)),
				},
				{
					changes: newChanges(9, newObject("c", 8), newDeletion("a", 9)),
				},
			},
		}
		seen := runFollower(t, time.Second, source)
		require.Equal(t, [][]string{{"a", "b"}, {"b", "c"}}, seen)
		require.Equal(t, []objectstore.Version{0, 5, 9}, source.requestedVersions)
	})
}

func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("a", 2)),
				},
				{
					err: &objectstore.HistoryGoneError{
						Prefix: "servers/",
					},
				},
				{
					snapshot: true,
					changes:  newChanges(30, newObject("b", 20)),
				},
			},
		}
		seen := runFollower(t, time.Second, source)
		require.Equal(t, [][]string{{"a"}, {"b"}}, seen)
		require.Equal(t, []objectstore.Version{0, 5, 0, 30}, source.requestedVersions)
	})
}

func TestFollowerIgnoresOlderVersionsOfListsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var versions []objectstore.Version
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(9, newObject("a", 8)),
				},
				{
					changes: newChanges(9, newObject("a", 3)),
				},
				{
					err: &objectstore.HistoryGoneError{},
				},
				{
					snapshot: true,
					changes:  newChanges(7, newObject("a", 6)),
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

func TestFollowerKeepsObjectsRemovedAfterOutageForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("alive", 2), newObject("dead", 3)),
				},
				{
					err: errStoreDown,
				},
				{
					changes: newChanges(8, newDeletion("alive", 7), newDeletion("dead", 8)),
				},
				{
					changes: newChanges(9, newObject("alive", 9)),
				},
			},
		}
		start := time.Now()
		var dropped time.Duration
		follower := objectstore.Follower{
			Source:      source,
			GracePeriod: gracePeriod,
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
		require.InDelta(t, gracePeriod, dropped, float64(500*time.Millisecond))
	})
}

func TestFollowerDropsRemovedObjectsAtOnceWithoutOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("a", 2)),
				},
				{
					changes: newChanges(8, newDeletion("a", 7)),
				},
			},
		}
		require.Equal(t, [][]string{{"a"}, {}}, replaceNilSlices(runFollower(t, time.Second, source)))
	})
}

// replaceNilSlices replaces nil slices by empty ones.
func replaceNilSlices(seen [][]string) [][]string {
	for i := range seen {
		if seen[i] == nil {
			seen[i] = []string{}
		}
	}
	return seen
}

// TestFollowerRefreshesWhenAnotherHasSeenNewerVersion guards against a watch that misses
// a change without an error.
func TestFollowerRefreshesWhenAnotherHasSeenNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("a", 2)),
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
		require.Equal(t, objectstore.UpToDate, follower.NextCatchUpAction(5, 0))
		require.Equal(t, objectstore.RefreshFromStore, follower.NextCatchUpAction(9, 0))
		require.Equal(t, objectstore.KeepWaiting, follower.NextCatchUpAction(9, 0))
		source.prepare(
			preparedResult{
				err: &objectstore.HistoryGoneError{},
			},
			preparedResult{
				snapshot: true,
				changes:  newChanges(9, newObject("a", 2), newObject("b", 9)),
			},
		)
		follower.Refresh()
		time.Sleep(time.Second)
		require.Len(t, follower.Snapshot().Objects, 2)
		require.Equal(t, objectstore.Version(9), follower.LastChangeVersion())
		require.Equal(t, objectstore.UpToDate, follower.NextCatchUpAction(9, 0))
		cancel()
		<-done
	})
}

func TestReplaceIfNewerIgnoresOlderCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen []string
		follower := objectstore.Follower{
			Source: &scriptedSource{},
			OnChange: func(objects map[string]objectstore.Object) {
				seen = slices.Sorted(maps.Keys(objects))
			},
		}
		follower.ReplaceIfNewer(newChanges(9, newObject("a", 2), newObject("b", 9)))
		require.Equal(t, []string{"a", "b"}, seen)
		follower.ReplaceIfNewer(newChanges(8, newObject("a", 2)))
		require.Equal(t, []string{"a", "b"}, seen)
		follower.ReplaceIfNewer(newChanges(12, newObject("b", 9)))
		require.Equal(t, []string{"b"}, seen)
		require.Equal(t, objectstore.Version(12), follower.Snapshot().Next)
	})
}

// TestNextCatchUpActionLimitsHowOftenItActs guards against calls that cancel each other: many
// hosts report the same change in their heartbeats, and each refresh interrupts the call
// in progress.
func TestNextCatchUpActionLimitsHowOftenItActs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := objectstore.Follower{
			Source:   &scriptedSource{},
			OnChange: func(map[string]objectstore.Object) {},
		}
		follower.ReplaceIfNewer(newChanges(5, newObject("a", 2)))
		actions := make(map[objectstore.CatchUpAction]int)
		for range 20 {
			actions[follower.NextCatchUpAction(9, 0)]++
			time.Sleep(80 * time.Millisecond)
		}
		require.Equal(t, 1, actions[objectstore.RefreshFromStore])
		require.Equal(t, 2, actions[objectstore.CopyFromPeer])
		require.Equal(t, 17, actions[objectstore.KeepWaiting])
	})
}

// TestWaitForChangesReturnsWhatFollowerReceived serves changes to other hosts from the
// history of a follower.
func TestWaitForChangesReturnsWhatFollowerReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := &objectstore.Follower{
			Source: &scriptedSource{
				results: []preparedResult{
					{
						snapshot: true,
						changes:  newChanges(5, newObject("a", 2)),
					},
					{
						changes: newChanges(9, newObject("b", 8), newDeletion("a", 9)),
					},
				},
			},
			OnChange: func(map[string]objectstore.Object) {},
		}
		_, err := follower.WaitForChanges(t.Context(), 0, 0)
		var stale *objectstore.StaleError
		require.ErrorAs(t, err, &stale)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		follower.Run(ctx)
		seen, err := follower.WaitForChanges(t.Context(), 5, time.Second)
		require.NoError(t, err)
		require.Equal(t, objectstore.Version(9), seen.Next)
		require.Equal(t, []objectstore.Object{newObject("b", 8), newDeletion("a", 9)}, seen.Objects)
		seen, err = follower.WaitForChanges(t.Context(), 9, time.Second)
		require.NoError(t, err)
		require.Empty(t, seen.Objects)
		_, err = follower.WaitForChanges(t.Context(), 4, time.Second)
		var history *objectstore.HistoryGoneError
		require.ErrorAs(t, err, &history)
	})
}

func TestWaitForChangesFailsWhenStoreGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("a", 2)),
				},
			},
		}
		follower := &objectstore.Follower{
			Source:   source,
			OnChange: func(map[string]objectstore.Object) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(ctx)
		}()
		synctest.Wait()
		result := make(chan error, 1)
		go func() {
			_, err := follower.WaitForChanges(t.Context(), 5, time.Minute)
			result <- err
		}()
		synctest.Wait()
		source.prepare(preparedResult{
			err: errStoreDown,
		})
		follower.Refresh()
		var stale *objectstore.StaleError
		require.ErrorAs(t, <-result, &stale)
		cancel()
		<-done
	})
}

// TestGracePeriodAppliesToRemovalsMarkedBySource guards against a follower that drops an
// object at once because it watches another follower and saw no outage itself. A removal
// that the source marks with MayBeAlive is kept for GracePeriod, and then dropped.
func TestGracePeriodAppliesToRemovalsMarkedBySource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		removal := newDeletion("a", 7)
		removal.MayBeAlive = true
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("a", 2)),
				},
				{
					changes: newChanges(8, removal),
				},
			},
		}
		seen := runFollower(t, gracePeriod-time.Millisecond, source)
		require.Equal(t, []string{"a"}, seen[len(seen)-1])
		source.prepare(
			preparedResult{
				snapshot: true,
				changes:  newChanges(5, newObject("a", 2)),
			},
			preparedResult{
				changes: newChanges(8, removal),
			},
		)
		seen = runFollower(t, 2*gracePeriod, source)
		require.Empty(t, seen[len(seen)-1])
	})
}

// TestNextCatchUpActionWaitsForChangesInTransit guards against needless calls when heartbeats
// arrive before the changes that they report.
func TestNextCatchUpActionWaitsForChangesInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxDelay = 500 * time.Millisecond
		follower := objectstore.Follower{
			Source:   &scriptedSource{},
			OnChange: func(map[string]objectstore.Object) {},
		}
		follower.ReplaceIfNewer(newChanges(5, newObject("a", 2)))
		for version := objectstore.Version(6); version < 40; version++ {
			require.Equal(t, objectstore.KeepWaiting, follower.NextCatchUpAction(version, maxDelay))
			time.Sleep(100 * time.Millisecond)
			follower.ReplaceIfNewer(newChanges(version, newObject("a", version)))
		}
		require.Equal(t, objectstore.KeepWaiting, follower.NextCatchUpAction(50, maxDelay))
		time.Sleep(maxDelay)
		require.Equal(t, objectstore.RefreshFromStore, follower.NextCatchUpAction(50, maxDelay))
	})
}

// TestFollowerWithoutGracePeriodDropsObjectsAtOnceAfterOutage guards against a zone
// evacuation that stays in force although it was revoked while this host could not reach
// the store.
func TestFollowerWithoutGracePeriodDropsObjectsAtOnceAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{
			results: []preparedResult{
				{
					snapshot: true,
					changes:  newChanges(5, newObject("zone", 2)),
				},
				{
					err: errStoreDown,
				},
				{
					changes: newChanges(8, newDeletion("zone", 7)),
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
