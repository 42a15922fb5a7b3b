package globallimit_test

import (
	"fmt"
	"time"

	"trefoilline.example/trefoilline/globallimit"
)

func Example() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	limiter := &globallimit.Limiter{
		Host:        "accra-1",
		Incarnation: 1,
		Clock:       func() time.Time { return now },
	}
	limiter.SetLimits([]globallimit.Limit{
		{
			Name: "team/chain",
			Kind: globallimit.Rate{
				PerSecond: 10,
				Burst:     2,
			},
		},
	})
	// An AllocationSyncer does this with the allocation in the store.
	first, _ := globallimit.NextAllocation(globallimit.Allocation{}, []globallimit.ProcessID{limiter.ProcessID()})
	limiter.ApplyAllocation(first, limiter.Timestamp())
	now = now.Add(time.Second)
	for range 3 {
		switch d := limiter.Acquire("team/chain", 1).(type) {
		case globallimit.Granted:
			fmt.Println("granted")
		case globallimit.Rejected:
			fmt.Println("refused:", d.Reason, "retry in", d.RetryAfter.Round(time.Millisecond))
		}
	}
	// Output:
	// granted
	// granted
	// refused: exhausted retry in 101ms
}
