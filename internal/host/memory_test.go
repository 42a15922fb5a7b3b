package host

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/observe"
)

// TestMemoryBudgetFollowsTheSettings guards against a budget that ignores the size of the machine, or a change of it. It is in the package
// since the budget of a process can't be seen from outside before the process serves.
func TestMemoryBudgetFollowsTheSettings(t *testing.T) {
	settings := Settings{}
	settings.Machine.MemoryMegabytes = 184
	h := newHost(settings, observe.Log{})
	limit := func() int64 { return h.handler.Memory.Usage().Limit }
	require.Equal(t, int64(46_000_000), limit())
	settings.Machine.MemoryMegabytes = 804
	h.reload(settings)
	require.Equal(t, int64(201_000_000), limit())
	settings.Machine.MemoryMegabytes = 20
	h.reload(settings)
	require.Equal(t, int64(minMemoryBudget), limit())
	settings.Machine.MemoryMegabytes = 0
	h.reload(settings)
	require.Equal(t, int64(memorybudget.DefaultLimit), limit())
}
