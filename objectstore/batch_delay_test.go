package objectstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// changingSource is a source in which an object changes every 100 ms.
type changingSource struct {
	calls int
	start time.Time
}

const changeInterval = 100 * time.Millisecond

func (s *changingSource) currentVersion() objectstore.Version {
	return objectstore.Version(1 + time.Since(s.start)/changeInterval)
}

func (s *changingSource) Snapshot(context.Context, string) (objectstore.VersionedObjects, error) {
	return objectstore.VersionedObjects{
		Next: s.currentVersion(),
	}, nil
}

func (s *changingSource) Watch(ctx context.Context, prefix string, after objectstore.Version, _ time.Duration) (objectstore.VersionedObjects, error) {
	s.calls++
	for s.currentVersion() <= after && ctx.Err() == nil {
		time.Sleep(changeInterval / 4)
	}
	return objectstore.VersionedObjects{
		Objects: []objectstore.Object{
			{
				Key:     prefix + "a",
				Version: s.currentVersion(),
			},
		},
		Next: s.currentVersion(),
	}, ctx.Err()
}

// TestBatchDelayReducesWatchCalls counts the watches of ten seconds: without a delay there
// is one for each change, with a delay one for all changes that came in the meantime.
func TestBatchDelayReducesWatchCalls(t *testing.T) {
	for batchDelay, maxCalls := range map[time.Duration]int{
		0:                      101,
		300 * time.Millisecond: 34,
	} {
		synctest.Test(t, func(t *testing.T) {
			source := &changingSource{
				start: time.Now(),
			}
			follower := &objectstore.Follower{
				Source:     source,
				Prefix:     "servers/",
				OnChange:   func(map[string]objectstore.Object) {},
				BatchDelay: func() time.Duration { return batchDelay },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			follower.Run(ctx)
			require.LessOrEqual(t, source.calls, maxCalls)
			require.Greater(t, source.calls, maxCalls/2)
		})
	}
}

// TestNextCatchUpActionAllowsForBatchDelay passes the newest version to NextCatchUpAction every 100 ms,
// as heartbeats of other hosts do. The follower calls the store by itself after its batch
// delay; if the maximum delay of NextCatchUpAction is shorter, changes that other hosts see first
// cause additional calls.
func TestNextCatchUpActionAllowsForBatchDelay(t *testing.T) {
	const (
		batchDelay = 300 * time.Millisecond
		// callTime is the part of the maximum delay in which the watch that follows the
		// batch delay returns.
		callTime = changeInterval / 2
	)
	for maxDelay, wantsRefresh := range map[time.Duration]bool{
		0:                     true,
		batchDelay / 2:        true,
		batchDelay + callTime: false,
	} {
		synctest.Test(t, func(t *testing.T) {
			source := &changingSource{
				start: time.Now(),
			}
			follower := &objectstore.Follower{
				Source:     source,
				Prefix:     "servers/",
				OnChange:   func(map[string]objectstore.Object) {},
				BatchDelay: func() time.Duration { return batchDelay },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go follower.Run(ctx)
			refreshes := 0
			for ctx.Err() == nil {
				time.Sleep(changeInterval)
				if follower.NextCatchUpAction(source.currentVersion(), maxDelay) == objectstore.RefreshFromStore {
					refreshes++
				}
			}
			require.Equal(t, wantsRefresh, refreshes > 0, "maximum delay %v: %d refreshes", maxDelay, refreshes)
		})
	}
}
