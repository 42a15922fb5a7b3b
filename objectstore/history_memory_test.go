package objectstore_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// growingSource is a source with an object of the given size that changes with each watch.
type growingSource struct {
	changes int
	size    int
	// name returns the key of the object that the n-th watch changes. If isRemoved is true, the watch also removes it.
	name      func(n int) string
	isRemoved bool
	watches   int
	done      context.CancelFunc
}

func (s *growingSource) Snapshot(context.Context, string) (objectstore.VersionedObjects, error) {
	return newChanges(1), nil
}

func (s *growingSource) Watch(ctx context.Context, _ string, after objectstore.Version, _ time.Duration) (objectstore.VersionedObjects, error) {
	if s.watches == s.changes {
		s.done()
		<-ctx.Done()
		return objectstore.VersionedObjects{}, ctx.Err()
	}
	s.watches++
	changed := newObject(s.name(s.watches), after+1)
	changed.Value = make([]byte, s.size)
	changes := newChanges(after+1, changed)
	if s.isRemoved {
		changes = newChanges(after+2, changed, newDeletion(changed.Key, after+2))
	}
	return changes, nil
}

// TestChangesOfLargeObjectsTakeNoMemory guards against a host that keeps each version of a configuration, or of objects that come and go,
// until it exceeds its memory.
func TestChangesOfLargeObjectsTakeNoMemory(t *testing.T) {
	const (
		changes  = 600
		size     = 400 << 10
		maxBytes = 16 << 20
	)
	for name, isRemoved := range map[string]bool{
		"changed": false,
		"removed": true,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			source := &growingSource{
				changes: changes,
				size:    size,
				name: func(n int) string {
					if isRemoved {
						return fmt.Sprint("servers/", n)
					}
					return "config/main"
				},
				isRemoved: isRemoved,
				done:      cancel,
			}
			follower := &objectstore.Follower{
				Source:   source,
				OnChange: func(map[string]objectstore.Object) {},
			}
			before := heapBytes()
			follower.Run(ctx)
			require.Less(t, heapBytes()-before, int64(maxBytes))
			require.LessOrEqual(t, follower.Bytes(), maxBytes)
			seen, err := follower.WaitForChanges(t.Context(), 2, 0)
			require.NoError(t, err)
			if !isRemoved {
				require.Len(t, seen.Objects, 1, "only the last change has an effect")
			}
		})
	}
}

// heapBytes returns how many bytes are in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestHistoryOfManyRemovalsStartsLater guards against changes that miss the removals of long ago, which the history has dropped.
func TestHistoryOfManyRemovalsStartsLater(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	follower := &objectstore.Follower{
		Source: &growingSource{
			changes:   3000,
			name:      func(n int) string { return fmt.Sprint("servers/", n) },
			isRemoved: true,
			done:      cancel,
		},
		OnChange: func(map[string]objectstore.Object) {},
	}
	follower.Run(ctx)
	_, err := follower.WaitForChanges(t.Context(), 2, 0)
	var gone *objectstore.HistoryGoneError
	require.ErrorAs(t, err, &gone)
	seen, err := follower.WaitForChanges(t.Context(), 5801, 0)
	require.NoError(t, err)
	require.Len(t, seen.Objects, 100, "each of the last 200 versions is half of an object that came and went")
}
