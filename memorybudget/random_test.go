package memorybudget_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/memorybudget"
)

// TestRandomSequencesStayWithinTheLimitAndLeakNothing runs random callers at the same time, some of whom leave while they wait. It
// guards against a sum that exceeds the limit, and against memory that stays reserved when all have gone.
func TestRandomSequencesStayWithinTheLimitAndLeakNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Int64Range(64<<10, 4<<20).Draw(rt, "limit")
		scripts := rapid.SliceOfN(rapid.Custom(drawScript), 1, 40).Draw(rt, "scripts")
		synctest.Test(t, func(t *testing.T) {
			budget := &memorybudget.Budget{}
			budget.SetLimit(limit)
			for _, s := range scripts {
				go s.run(budget)
			}
			for range 100 {
				usage := budget.Usage()
				require.LessOrEqual(t, usage.Used, usage.Limit)
				require.GreaterOrEqual(t, usage.Used, int64(0))
				time.Sleep(37 * time.Millisecond)
			}
			time.Sleep(time.Minute)
			synctest.Wait()
			require.Equal(t, memorybudget.Usage{
				Limit: limit,
			}, budget.Usage())
		})
	})
}

// script is what a random caller does.
type script struct {
	owner   memorybudget.Owner
	start   time.Duration
	timeout time.Duration
	steps   []scriptStep
}

type scriptStep struct {
	reserve  int64
	release  int64
	transfer time.Duration
	pause    time.Duration
}

func drawDuration(t *rapid.T, label string, longest time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, label))
}

func drawScript(t *rapid.T) script {
	return script{
		owner: memorybudget.Owner{
			Group:    memorybudget.NewGroup(netip.AddrFrom4([4]byte{10, 0, 0, rapid.ByteRange(0, 3).Draw(t, "address")}), ""),
			Kind:     rapid.SampledFrom([]memorybudget.Kind{memorybudget.Upload, memorybudget.Response}).Draw(t, "kind"),
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			Expected: rapid.Int64Range(-1, 256<<10).Draw(t, "expected"),
		},
		start:   drawDuration(t, "start", time.Second),
		timeout: drawDuration(t, "timeout", 4*time.Second),
		steps: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scriptStep {
			return scriptStep{
				reserve:  rapid.Int64Range(0, 96<<10).Draw(t, "reserve"),
				release:  rapid.Int64Range(0, 32<<10).Draw(t, "release"),
				transfer: drawDuration(t, "transfer", 2*time.Second),
				pause:    drawDuration(t, "pause", time.Second),
			}
		}), 0, 12).Draw(t, "steps"),
	}
}

// run plays the caller until its script ends, it is evicted or refused, or its time is over.
func (s script) run(budget *memorybudget.Budget) {
	time.Sleep(s.start)
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	s.owner.OnEvict = func(memorybudget.Reason) { cancel() }
	h := budget.Open(s.owner)
	defer h.Close()
	for _, step := range s.steps {
		if h.Reserve(ctx, step.reserve) != nil {
			return
		}
		h.Begin()
		sleep(ctx, step.transfer)
		h.End(1)
		h.Release(step.release)
		sleep(ctx, step.pause)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
