package team_test

import (
	"context"
	"fmt"
	"time"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/team"
)

// A key is issued, verified and withdrawn.
func Example() {
	ctx := context.Background()
	platform := &store.Memory{}
	office := team.KeyManager{
		Store: platform,
	}
	key, record, err := office.Issue(ctx, "north-schools", "till in Tamale")
	if err != nil {
		fmt.Println(err)
		return
	}
	var holder team.KeySet
	refresh := func() {
		asked := time.Now()
		if objects, err := platform.List(ctx, team.KeyRecordPrefix); err == nil {
			holder.ApplyList(objects, asked)
		}
	}
	refresh()
	fmt.Println(holder.View().Verify(key.Reveal()))

	_, _ = office.Withdraw(ctx, record.Hash)
	refresh()
	fmt.Println(holder.View().Verify(key.Reveal()))
	fmt.Println("a key in a log:", key)
	// Output:
	// north-schools <nil>
	//  the key of team "north-schools" was withdrawn
	// a key in a log: tf1_hidden
}
