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
	_, isHeldByOther := other.AcquireOrRenew(ctx).(*lease.HeldByOtherError)
	fmt.Println(isHeldByOther)
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
	planLease := &lease.Lease{
		Store:  memory,
		Key:    "lease/plan",
		Holder: "host-1/17",
	}
	_ = planLease.AcquireOrRenew(ctx)
	fence := &lease.Fence{
		Lease: planLease,
		Key:   "plan/head",
	}
	err := fence.Write(ctx, func(current []byte) ([]byte, error) {
		return append(current, "step;"...), nil
	})
	body, epoch, _ := fence.Read(ctx)
	fmt.Println(err, string(body), epoch)
	// Output: <nil> step; 1
}
