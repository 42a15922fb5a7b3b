/*
Package membership tracks the other entry hosts: which hosts exist, which ones accept callers,
and the last state that each reported. It is not on the path of a request. An entry
host uses it to divide team rates, to select backend servers, to answer callers that
look up the addresses of entry hosts, and to choose the host that reads the platform's store.

Hosts find each other through records in the store, and then send each other heartbeats. A
record says that a host may exist; only heartbeats show that it is live.

# Usage

	peers := &membership.Roster{
		Self: "accra-1",
	}
	peers.SetRecords(records)
	peers.Receive(heartbeat)
	for _, host := range peers.LivePeers() {
		// host is live.
	}

In a small fleet each host sends its heartbeat to every other. In a larger one it sends it to
the relays of its region only, a few hosts that all others select by the same hash. A relay
tells the hosts of its region what it knows of all hosts, and the relays of the other regions
what it knows of its own region, in a [Digest] that holds only what changed. So a host
exchanges messages with a few others, however many there are; see docs/CAPACITY.md.
*/
package membership
