package team_test

import (
	"context"
	"fmt"
	"time"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/team"
)

// An API key is issued, verified and withdrawn.
func Example() {
	ctx := context.Background()
	objects := &store.Memory{}
	manager := team.KeyManager{
		Store: objects,
	}
	key, record, err := manager.Issue(ctx, "north-schools", "till in Tamale")
	if err != nil {
		fmt.Println(err)
		return
	}
	var keys team.KeySet
	refresh := func() {
		requestedAt := time.Now()
		if listed, err := objects.List(ctx, team.KeyRecordPrefix); err == nil {
			keys.ApplyList(listed, requestedAt)
		}
	}
	refresh()
	fmt.Println(keys.View().Verify(key.Reveal()))

	_, _ = manager.Withdraw(ctx, record.Hash)
	refresh()
	fmt.Println(keys.View().Verify(key.Reveal()))
	fmt.Println("a key in a log:", key)
	// Output:
	// north-schools <nil>
	//  the key of team "north-schools" was withdrawn
	// a key in a log: tf1_hidden
}
