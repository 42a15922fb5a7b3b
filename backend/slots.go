package backend

// SlotLimiter limits the slots that this host may use of each service in each region.
// The slots of a region are a limit on all entry hosts together. The methods are called
// with the pool locked and must not block or call the pool.
type SlotLimiter interface {
	// Acquire takes a slot and reports whether this host had a free one.
	Acquire(service, region string) bool
	// Release returns a slot.
	Release(service, region string)
}

// SlotLimitName returns the name of the fleet-wide limit on the slots of
// the service in the region.
func SlotLimitName(service, region string) string {
	return "slots/" + service + "/" + region
}
