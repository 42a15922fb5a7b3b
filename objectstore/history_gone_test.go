package objectstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// forgetfulSource is a source that never has the history for a watch.
type forgetfulSource struct{ calls int }

func (s *forgetfulSource) Snapshot(context.Context, string) (objectstore.VersionedObjects, error) {
	s.calls++
	time.Sleep(10 * time.Millisecond)
	return objectstore.VersionedObjects{
		Next: 1,
	}, nil
}

func (s *forgetfulSource) Watch(_ context.Context, prefix string, _ objectstore.Version, _ time.Duration) (objectstore.VersionedObjects, error) {
	s.calls++
	return objectstore.VersionedObjects{}, &objectstore.HistoryGoneError{
		Prefix: prefix,
	}
}

// TestStoreWithoutHistoryIsNotListedWithoutPause guards against hundreds of calls a second while
// the store answers each watch that its history is gone.
func TestStoreWithoutHistoryIsNotListedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &forgetfulSource{}
		follower := &objectstore.Follower{
			Source:   source,
			Prefix:   "servers/",
			OnChange: func(map[string]objectstore.Object) {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		follower.Run(ctx)
		// After a few faster ones, there is a list and a watch each 0.8 s.
		require.LessOrEqual(t, source.calls, 2*(10*10/8+4))
	})
}
