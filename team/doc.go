/*
Package team holds the teams' keys. A key is drawn at random and shown once; the
store keeps only its hash. Withdrawing a key leaves a tombstone that never goes
away.

An [Office] issues and withdraws keys in the platform's store. A [View] is what
a host knows of them; it verifies the key of each request. Views are merged with
those of peers in any order and as often as needed, and never make a withdrawn
key good again.

# Usage

	office := team.Office{
		Store: store,
	}
	key, record, err := office.Issue(ctx, "north-schools", "till in Tamale")
	fmt.Println(key.Reveal())

	view = view.Refresh(objects, time.Now())
	name, err := view.Verify(text)

	_, err = office.Withdraw(ctx, record.Hash)
*/
package team
