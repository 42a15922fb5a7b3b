/*
Package fleet maintains an entry host's view of the fleet, which is all entry
hosts of all regions: which hosts are live, what the newest configuration is, and
when it was last confirmed to be the newest. It exchanges messages with other
hosts in the background. On the path of a request, a host only calls
[Node.CheckConfirmed] before it uses a part of the configuration, such as the API
keys, and rejects the request on an error.

A [Node] is a state machine that does no I/O; its clock and random source can be
set. The program calls [Node.Tick] at a fixed interval and [Node.Receive] for
each message, and sends the messages that they return; package peer does this
over HTTP. A [FeedReader] passes the node what it reads from the platform's
store. A [MachineLister], or the program itself, passes it the platform's list of
machines.

Membership: hosts exchange member records by gossip within their availability
zone. Each record has an incarnation, which the host sets at its start, and a
revision, which the host increases to refute a suspicion or to announce that it
is draining. The store readers of a zone also exchange records with other zones.
Hosts compare hashes of their records to detect changes that gossip missed, and
then fetch the records of the zones whose hashes differ, which is called a
repair.

Feeds: a feed is the set of objects in the store under one key prefix. Each host
holds a copy, its view. A few hosts of each zone, the store readers, watch the
feed in the store. Every other host polls a parent in a shallow tree and requests
what changed after the version of its view. The version of a view never
decreases. Watches of the store may lag. Where that matters, the writers of a
feed also write a head key after each change, and store readers trust a watch
only if it reaches the version of the head key.

Crash counts: a node can also spread by gossip how many backend servers crashed
while they ran a given request; see [Node.RecordCrash] and [Node.Crashes].
internal/daemon does not use these methods: it sends crash reports to all hosts
itself.

Confirmation: a view is confirmed at a time if it is known to have been the
store's newest at that time. Clocks of different hosts are not compared. Instead
a message gives an age for each fact: how long before the message was written the
fact is known to have been true. The message also echoes the latest timestamp
that its sender received from the addressee. The addressee subtracts the ages
from that timestamp, which is a reading of its own clock and earlier than the
message. A message that is delayed, duplicated or received by a paused process
therefore never makes a view look more recently confirmed than it is.

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
				Prefix:  "keys/",
				HeadKey: "keys-head",
			},
		},
		Rand: rand.New(rand.NewPCG(seed, 1)),
	}
	for range time.Tick(node.TickInterval()) {
		send(node.Tick())
	}

The envelopes that Receive returns may be addressed to the sender of the message
and can then be sent back in the response:

	message, err := fleet.Decode(body)
	respond(node.Receive(message))

On the path of a request:

	if err := node.CheckConfirmed("keys/"); err != nil {
		return reject(err) // not sent to a backend server
	}
*/
package fleet
