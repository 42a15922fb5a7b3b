package lease_test

import (
	"context"
	"fmt"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/lease"
)

func ExampleLease() {
	ctx, memory := context.Background(), &store.Memory{}
	holder := &lease.Lease{
		Store:  memory,
		Key:    "lease/plan",
		Holder: "host-1/17",
	}
	other := &lease.Lease{
		Store:  memory,
		Key:    "lease/plan",
		Holder: "host-2/4",
	}
	fmt.Println(holder.AcquireOrRenew(ctx))
	_, held := other.AcquireOrRenew(ctx).(*lease.HeldByOtherError)
	fmt.Println(held)
	fmt.Println(holder.Release(ctx))
	fmt.Println(other.AcquireOrRenew(ctx))
	term, _ := other.Term()
	fmt.Println(term.Holder, term.Epoch)
	// Output:
	// <nil>
	// true
	// <nil>
	// <nil>
	// host-2/4 2
}

func ExampleFence() {
	ctx, memory := context.Background(), &store.Memory{}
	l := &lease.Lease{
		Store:  memory,
		Key:    "lease/plan",
		Holder: "host-1/17",
	}
	_ = l.AcquireOrRenew(ctx)
	plan := &lease.Fence{
		Lease: l,
		Key:   "plan/head",
	}
	err := plan.Write(ctx, func(last []byte) ([]byte, error) {
		return append(last, "step;"...), nil
	})
	body, epoch, _ := plan.Read(ctx)
	fmt.Println(err, string(body), epoch)
	// Output: <nil> step; 1
}
