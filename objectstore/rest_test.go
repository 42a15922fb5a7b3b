package objectstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// restless is a source in which an object changes every tenth of a second, as those
// of many backend servers do together.
type restless struct {
	calls int
	began time.Time
}

const changePeriod = 100 * time.Millisecond

func (s *restless) now() objectstore.Version {
	return objectstore.Version(1 + time.Since(s.began)/changePeriod)
}

func (s *restless) Snapshot(context.Context, string) (objectstore.Changes, error) {
	return objectstore.Changes{
		Next: s.now(),
	}, nil
}

func (s *restless) Watch(ctx context.Context, prefix string, after objectstore.Version, _ time.Duration) (objectstore.Changes, error) {
	s.calls++
	for s.now() <= after && ctx.Err() == nil {
		time.Sleep(changePeriod / 4)
	}
	return objectstore.Changes{
		Objects: []objectstore.Object{
			{
				Key:     prefix + "a",
				Version: s.now(),
			},
		},
		Next: s.now(),
	}, ctx.Err()
}

// TestRestsGatherChanges counts the calls of ten seconds: one for each change, or one
// for all that came in a rest.
func TestRestsGatherChanges(t *testing.T) {
	for rest, most := range map[time.Duration]int{
		0:                      101,
		300 * time.Millisecond: 34,
	} {
		synctest.Test(t, func(t *testing.T) {
			source := &restless{
				began: time.Now(),
			}
			follower := &objectstore.Follower{
				Source:     source,
				Prefix:     "servers/",
				OnChange:   func(map[string]objectstore.Object) {},
				BatchDelay: func() time.Duration { return rest },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			follower.Run(ctx)
			require.LessOrEqual(t, source.calls, most)
			require.Greater(t, source.calls, most/2)
		})
	}
}

// TestAFollowerThatRestsIsNotBehind has others tell a reader every tenth of a second
// what they know. It asks the store by itself after its rest; without patience for that
// each change that another knows first brings one more call.
func TestAFollowerThatRestsIsNotBehind(t *testing.T) {
	const rest = 300 * time.Millisecond
	for patience, isBehind := range map[time.Duration]bool{
		0:    true,
		rest: false,
	} {
		synctest.Test(t, func(t *testing.T) {
			source := &restless{
				began: time.Now(),
			}
			follower := &objectstore.Follower{
				Source:     source,
				Prefix:     "servers/",
				OnChange:   func(map[string]objectstore.Object) {},
				BatchDelay: func() time.Duration { return rest },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go follower.Run(ctx)
			behind := 0
			for ctx.Err() == nil {
				time.Sleep(changePeriod)
				if follower.PlanCatchUp(source.now(), patience) == objectstore.RefreshFromStore {
					behind++
				}
			}
			require.Equal(t, isBehind, behind > 0, "patience %v: %d times", patience, behind)
		})
	}
}
