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
