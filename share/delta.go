package share

import "slices"

// AllocationDelta is the difference between an epoch and the one before. It is
// sent to hosts that are one epoch behind, in place of the whole allocation.
type AllocationDelta struct {
	Epoch Epoch `json:"epoch"`
	// Added lists the new members. A newer process of a host replaces the older
	// one.
	Added []ProcessID `json:"added,omitempty"`
	// Removed lists the hosts that have no member any more.
	Removed []string `json:"removed,omitempty"`
}

// deltaBetween returns the difference between two allocations, or nil if after
// does not follow before directly.
func deltaBetween(before, after Allocation) *AllocationDelta {
	if before.Epoch == 0 || before.Epoch+1 != after.Epoch {
		return nil
	}
	d := &AllocationDelta{
		Epoch: after.Epoch,
	}
	for _, member := range after.Members {
		if before.index(member) < 0 {
			d.Added = append(d.Added, member)
		}
	}
	for _, member := range before.Members {
		if _, found := slices.BinarySearchFunc(after.Members, member, compareHosts); !found {
			d.Removed = append(d.Removed, member.Host)
		}
	}
	return d
}

// apply returns the allocation that results from applying the delta to before.
func (d *AllocationDelta) apply(before Allocation) Allocation {
	replaced := make(map[string]struct{}, len(d.Removed)+len(d.Added))
	for _, host := range d.Removed {
		replaced[host] = struct{}{}
	}
	for _, member := range d.Added {
		replaced[member.Host] = struct{}{}
	}
	after := Allocation{
		Epoch:   d.Epoch,
		Members: make([]ProcessID, 0, len(before.Members)+len(d.Added)),
	}
	for _, member := range before.Members {
		if _, isReplaced := replaced[member.Host]; !isReplaced {
			after.Members = append(after.Members, member)
		}
	}
	after.Members = append(after.Members, d.Added...)
	slices.SortFunc(after.Members, compareHosts)
	return after
}
