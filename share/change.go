package share

import "slices"

// Change is what an epoch changed of the one before. It saves sending the whole
// allocation to a host that is one epoch behind.
type Change struct {
	Epoch Epoch `json:"epoch"`
	// Added are the new holders; a newer process of a host replaces the older.
	Added []Identity `json:"added,omitempty"`
	// Removed are the hosts that hold no more.
	Removed []string `json:"removed,omitempty"`
}

// changeOf returns the change from one epoch to the next, or nil if the two do
// not follow each other.
func changeOf(before, after Allocation) *Change {
	if before.Epoch == 0 || before.Epoch+1 != after.Epoch {
		return nil
	}
	c := &Change{
		Epoch: after.Epoch,
	}
	for _, holder := range after.Holders {
		if before.index(holder) < 0 {
			c.Added = append(c.Added, holder)
		}
	}
	for _, holder := range before.Holders {
		if _, found := slices.BinarySearchFunc(after.Holders, holder, byHost); !found {
			c.Removed = append(c.Removed, holder.Host)
		}
	}
	return c
}

// apply returns the allocation after the change.
func (c *Change) apply(before Allocation) Allocation {
	replaced := make(map[string]struct{}, len(c.Removed)+len(c.Added))
	for _, host := range c.Removed {
		replaced[host] = struct{}{}
	}
	for _, holder := range c.Added {
		replaced[holder.Host] = struct{}{}
	}
	after := Allocation{
		Epoch:   c.Epoch,
		Holders: make([]Identity, 0, len(before.Holders)+len(c.Added)),
	}
	for _, holder := range before.Holders {
		if _, gone := replaced[holder.Host]; !gone {
			after.Holders = append(after.Holders, holder)
		}
	}
	after.Holders = append(after.Holders, c.Added...)
	slices.SortFunc(after.Holders, byHost)
	return after
}
