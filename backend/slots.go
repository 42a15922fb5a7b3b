package backend

// SlotLimiter is this host's part of each region's slots, which are a limit over
// all hosts together. Its methods are called with the pool locked and must
// not block or call the pool.
type SlotLimiter interface {
	// Acquire takes one slot if this host holds a free one.
	Acquire(service, region string) bool
	// Release gives the slot back.
	Release(service, region string)
}

// SlotLimitName is the name of the fleet-wide limit on a region's slots.
func SlotLimitName(service, region string) string {
	return "slots/" + service + "/" + region
}
