/*
Package globallimit enforces fleet-wide limits: limits on the requests of all entry
hosts together. On the path of a request, an entry host asks it for the rate limit of
the team, package steer for the limits of links and of moves between regions, and
package backend for the slots of a region. The grants of all hosts together never
exceed a limit, even if hosts crash, freeze, restart, lose their network or run
two processes at once, or if the store is unavailable.

A limit is either a [Rate] (requests per second and a burst) or a number of
[Slots] (requests that run at the same time). Each host runs one [Limiter], which
does no I/O itself: the daemon delivers the messages that [Limiter.Tick] and
[Limiter.Receive] return, and an [AllocationSyncer] reads and writes the
allocation in the store.

The [Allocation] in the store lists the members: the processes among which the
limits are divided. Each change of the allocation starts a new epoch, numbered
one higher. A few members, chosen by rendezvous hashing, own each limit in equal
shares.

An owner may use its share only if it knows that its epoch was still the newest
at some time within the last [ConfirmationTTL]. A few members, the store readers,
read the allocation from the store, and the other hosts ask one of them for this
confirmation. While the store is unavailable, the store readers confirm the
epoch from the support of a quorum of members. Before a new epoch is written, a
quorum of members votes for it. A vote only ends the voter's support of the
current epoch. Members may vote for several competing proposals, and the
conditional write to the store decides between them. A host whose share grows in
a new epoch waits until no process can still use a share of an earlier epoch.

Hosts lend shares to each other for a short time, so that shares follow the
demand. The lender stops using a share before it sends the loan, and the loan
expires at the borrower before the lender uses the share again. A lost message
can make tokens unusable for a few seconds, but never creates any. A restarted
host starts without tokens.

A [GrantChecker] checks in tests and simulations that the grants of all hosts
stay within the limits.

# Usage

	limiter := &globallimit.Limiter{
		Host: "accra-1",
	}
	limiter.SetLimits([]globallimit.Limit{
		{
			Name: "team/checkout",
			Kind: globallimit.Rate{
				PerSecond: 200,
				Burst:     400,
			},
		},
	})
	switch d := limiter.Acquire("team/checkout", 1).(type) {
	case globallimit.Granted:
		// Serve the request. If it does not run, call limiter.ReturnGrant(d.Grant).
	case globallimit.Rejected:
		// Reject the request. d.RetryAfter estimates when it can be granted.
	case globallimit.UnknownLimit:
		// There is no such limit.
	}

The daemon calls [Limiter.Tick] and [AllocationSyncer.Refresh] every
[TickInterval], passes each received message to [Limiter.Receive], sends the
envelopes that Tick and Receive return, and passes the live processes to
[Limiter.SetLiveProcesses]. It returns the grants of requests that were not run
with [Limiter.ReturnGrant] and frees slots with [Limiter.Release].
*/
package globallimit
