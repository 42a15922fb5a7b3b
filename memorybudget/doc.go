/*
Package memorybudget decides what a host may hold in memory for its callers and backend servers: request bodies that are
being read or kept for a second attempt, and responses until their callers have read them. It does no I/O.

All of it counts against one limit. A [Holding] reserves memory in small steps before it is filled. What
does not fit waits, for a bounded time, and is then refused. Four classes of reservations may fill the budget to different
heights ([Class]), so that long request bodies leave room for short ones, and those for responses.

While reservations wait, and only then, holdings are evicted: first those that transfer nothing for [Window], then, in the group
that holds the most, those that transfer less than [MinRate], and at last, for a reservation that has waited for Window,
others of that group. A holding that transfers nothing because its owner does not read or write is not evicted. The owner
learns of it by a callback and by the errors of the holding's methods, and its memory counts until it is released.

# Usage

	budget := &memorybudget.Budget{}
	holding := budget.Open(memorybudget.Owner{
		Group:    memorybudget.NewGroup(callerAddress, team),
		Kind:     memorybudget.Upload,
		Expected: contentLength,
		OnEvict:  interruptRead,
	})
	defer holding.Close()
	if err := holding.Reserve(ctx, len(piece)); err != nil {
		return err
	}
	holding.Begin()
	n, err := body.Read(piece)
	holding.End(n)
*/
package memorybudget
