package share_test

import (
	"fmt"
	"time"

	"trefoilline.example/trefoilline/share"
)

func Example() {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	holder := &share.Limiter{
		Host:        "accra-1",
		Incarnation: 1,
		Clock:       func() time.Time { return now },
	}
	holder.SetLimits([]share.Limit{
		{
			Name: "team/chain",
			Kind: share.Rate{
				PerSecond: 10,
				Burst:     2,
			},
		},
	})
	// A Keeper does this from the store.
	first, _ := share.NextAllocation(share.Allocation{}, []share.ProcessID{holder.ProcessID()})
	holder.ApplyAllocation(first, holder.Timestamp())
	now = now.Add(time.Second)
	for range 3 {
		switch d := holder.Acquire("team/chain", 1).(type) {
		case share.Granted:
			fmt.Println("granted")
		case share.Refused:
			fmt.Println("refused:", d.Reason, "retry in", d.RetryAfter.Round(time.Millisecond))
		}
	}
	// Output:
	// granted
	// granted
	// refused: exhausted retry in 101ms
}
