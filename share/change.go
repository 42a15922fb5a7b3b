package share

import "slices"

// AllocationDelta is what an epoch changed of the one before. It saves sending the whole
// allocation to a host that is one epoch behind.
type AllocationDelta struct {
	Epoch Epoch `json:"epoch"`
	// Added are the new holders; a newer process of a host replaces the older.
	Added []ProcessID `json:"added,omitempty"`
	// Removed are the hosts that hold no more.
	Removed []string `json:"removed,omitempty"`
}

// changeOf returns the change from one epoch to the next, or nil if the two do
// not follow each other.
func changeOf(before, after Allocation) *AllocationDelta {
	if before.Epoch == 0 || before.Epoch+1 != after.Epoch {
		return nil
	}
	c := &AllocationDelta{
		Epoch: after.Epoch,
	}
	for _, holder := range after.Members {
		if before.index(holder) < 0 {
			c.Added = append(c.Added, holder)
		}
	}
	for _, holder := range before.Members {
		if _, found := slices.BinarySearchFunc(after.Members, holder, byHost); !found {
			c.Removed = append(c.Removed, holder.Host)
		}
	}
	return c
}

// apply returns the allocation after the change.
func (c *AllocationDelta) apply(before Allocation) Allocation {
	replaced := make(map[string]struct{}, len(c.Removed)+len(c.Added))
	for _, host := range c.Removed {
		replaced[host] = struct{}{}
	}
	for _, holder := range c.Added {
		replaced[holder.Host] = struct{}{}
	}
	after := Allocation{
		Epoch:   c.Epoch,
		Members: make([]ProcessID, 0, len(before.Members)+len(c.Added)),
	}
	for _, holder := range before.Members {
		if _, gone := replaced[holder.Host]; !gone {
			after.Members = append(after.Members, holder)
		}
	}
	after.Members = append(after.Members, c.Added...)
	slices.SortFunc(after.Members, byHost)
	return after
}
