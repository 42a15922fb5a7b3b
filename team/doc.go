/*
Package team issues, withdraws (revokes) and verifies the API keys of teams. An
entry host verifies the API key of each request with it, to learn which team sent
the request.

An API key is generated at random and shown once, when it is issued; the object
store keeps only its hash. Withdrawing a key leaves a tombstone in the store
that is never deleted.

A [KeyManager] issues and withdraws keys in the store. A [View] holds what a
host knows of all keys and verifies them; a [KeySet] holds the current view of
a host. Views can be merged with those of other hosts in any order and any
number of times; a withdrawn key never becomes valid again.

# Usage

	manager := team.KeyManager{
		Store: store,
	}
	key, record, err := manager.Issue(ctx, "north-schools", "till in Tamale")
	fmt.Println(key.Reveal())

	view = view.ApplyList(objects, time.Now())
	teamName, err := view.Verify(text)

	_, err = manager.Withdraw(ctx, record.Hash)
*/
package team
