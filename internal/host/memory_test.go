package host_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
)

// TestMemoryBudgetFollowsTheMachine guards against a budget that ignores the size of the machine, or is too small for the largest
// response.
func TestMemoryBudgetFollowsTheMachine(t *testing.T) {
	for megabytes, budget := range map[float64]int64{
		184: 46_000_000,
		804: 201_000_000,
		20:  12 << 20,
		0:   0,
	} {
		require.Equal(t, budget, host.Machine{
			MemoryMegabytes: megabytes,
		}.MemoryBudget(), "%v MB", megabytes)
	}
}

// TestLargeObjectsLeaveLessForBodies guards against a budget that does not know of the copies of the store's objects.
func TestLargeObjectsLeaveLessForBodies(t *testing.T) {
	machine := host.Machine{
		MemoryMegabytes: 284,
	}
	require.Equal(t, machine.MemoryBudget(), machine.MemoryBudgetBeside(1<<20))
	require.Less(t, machine.MemoryBudgetBeside(8<<20), machine.MemoryBudget())
	require.Positive(t, machine.MemoryBudgetBeside(1<<30))
	unknown := host.Machine{}
	require.Zero(t, unknown.MemoryBudgetBeside(1<<30))
}
