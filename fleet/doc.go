/*
Package fleet keeps each host's view of the fleet: which hosts live, how the
newest configuration reaches them all, and how long ago that was confirmed.

A [Node] is a pure state machine. The program calls [Node.Tick] at a steady
interval and [Node.Receive] for each message, sends the envelopes that they
return, and tells the node what the platform said. It does no I/O, and its
clock and random source are injected.

Members: a host gossips inside its availability zone. Each record carries an
incarnation, set by the host at start, and a revision, which only the host
raises: to refute a suspicion or to say that it is leaving. Two hosts per zone
or so exchange with other zones. Hashes of the records find what rumors missed.

Feeds: a feed is the set of the store's objects under a prefix. A few readers
per zone watch it in the store; the others poll a parent in a shallow tree and
fetch what changed since the version they have. A version never goes back.
Watches may lag; where it matters the writers of a feed also write its head
after each change, and readers trust a watch only up to the head that they get.

Confirmation: an age may only be counted from a time on the reader's own clock
that is known to be earlier than the peer's statement. Every message therefore
repeats the last stamp that its sender got from the addressee, and ages count
from that stamp. Messages that were delayed, repeated or read by a process that
was frozen can't make a view look younger than it is.

# Usage

	node := &fleet.Node{
		Self: fleet.Host{
			Name:    "host-3",
			Region:  "accra",
			Zone:    "accra-a",
			Address: address,
		},
		Incarnation: uint64(time.Now().UnixMilli()),
		Feeds: []fleet.Feed{
			{
				Prefix: "table/head",
			},
			{
				Prefix: "keys/",
				Head:      "keys-head",
			},
		},
		Rand: rand.New(rand.NewPCG(seed, 1)),
	}
	for range time.Tick(node.Interval()) {
		send(node.Tick())
	}

On arrival of a message, with the envelopes addressed to its sender going back
as the answer:

	message, err := fleet.Decode(body)
	send(node.Receive(message))

On the request path:

	if err := node.Confirmation("keys/"); err != nil {
		return refuse(err) // not run
	}
*/
package fleet
