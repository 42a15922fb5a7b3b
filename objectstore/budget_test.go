package objectstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

func TestRateLimitedStoreRefusesCallsOverTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		limited := &objectstore.RateLimitedStore{
			Store:     memory,
			Directory: memory,
			Reads: objectstore.RateLimit{
				PerSecond: 2,
				Burst:     2,
			},
		}
		for range 10 {
			for range 10 {
				_, _ = limited.Get(t.Context(), "a")
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, uint64(20), memory.Calls().Get)
		require.Equal(t, uint64(80), limited.Refused().Reads())
		// Two of these calls are within the limit, which the count of sent calls checks.
		for range 3 {
			_, err := limited.Machines(t.Context())
			if err != nil {
				require.Equal(t, &objectstore.RateLimitError{
					Kind: objectstore.MachinesCall,
				}, err)
			}
		}
		require.Equal(t, uint64(2), limited.Sent().Machines)
		_, err := limited.Put(t.Context(), "a", nil, nil)
		require.NoError(t, err, "writes have a separate rate limit")
	})
}
