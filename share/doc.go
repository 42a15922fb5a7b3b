/*
Package share divides limits that hold over all entry hosts together among
those hosts, so that the sum of what they grant never exceeds a limit: not when
hosts die, freeze, are cut off, restart or run twice under one name, and not
while the store is down.

A limit is either a [Rate] (requests per second and a burst) or a number of
[Slots] (requests that run at once). Each host runs one [Limiter]. Its decisions
do no I/O: the daemon delivers the messages that [Limiter.Tick] and
[Limiter.Receive] return, and a [AllocationSyncer] carries the allocation to and from the
store.

An [Allocation] in the store names the hosts that hold the limits, under an
epoch that grows by one with each change. Each limit is held in equal parts by
a few of these hosts, its home hosts, picked by rendezvous hash. A host may use
its part only while it knows that its epoch was still the newest at most
[ConfirmationTTL] ago. It knows that from a read of the store, or, while the store is
down, from enough holders that promised no successor. A host that gains from a
new epoch waits until every use of the epoch before must have lapsed.

Parts move to where the demand is as short loans between hosts: the lender gives
up its part before it sends the loan, and the borrower's use ends before the
lender takes the part back. A lost message loses tokens for a few seconds and
never makes any. A restarted host starts with nothing.

# Usage

	holder := &share.Holder{
		Host: "accra-1",
	}
	holder.SetLimits([]share.Limit{
		{
			Name: "team/chain",
			Kind: share.Rate{
				PerSecond: 200,
				Burst:     400,
			},
		},
	})
	switch d := holder.Take("team/chain", 1).(type) {
	case share.Granted:
		// Serve the request; if it does not run, holder.GiveBack(d.Grant).
	case share.Refused:
		// Refuse the request; d.Retry says when it may pass.
	case share.Unknown:
		// The table has no such limit.
	}

The daemon calls [Limiter.Tick] every [TickInterval], hands each arriving message
to [Limiter.Receive], sends the envelopes that both return, calls
[AllocationSyncer.Refresh] every [RefreshInterval], and passes the live hosts to
[Limiter.SetLiveProcesses]. It gives back what a refused request took with
[Limiter.ReturnGrant], and ends each use of a slot with [Limiter.Release].
*/
package share
