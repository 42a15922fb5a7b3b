package objectstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

func TestBudgetRefusesInsteadOfOverrunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		budgeted := &objectstore.RateLimitedStore{
			Store:     memory,
			Directory: memory,
			Reads: objectstore.RateLimit{
				PerSecond: 2,
				Burst:     2,
			},
		}
		for range 10 {
			for range 10 {
				_, _ = budgeted.Get(t.Context(), "a")
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, uint64(20), memory.Calls().Get)
		require.Equal(t, uint64(80), budgeted.Refused().Reads())
		for range 3 {
			_, err := budgeted.Machines(t.Context())
			if err != nil {
				require.Equal(t, &objectstore.RateLimitError{
					Kind: objectstore.MachinesCall,
				}, err)
			}
		}
		require.Equal(t, uint64(2), budgeted.Sent().Machines)
		_, err := budgeted.Put(t.Context(), "a", nil, nil)
		require.NoError(t, err, "writes have a budget of their own")
	})
}
