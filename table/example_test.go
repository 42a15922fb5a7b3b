package table_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/table"
)

// An operator publishes a table, a host follows it.
func Example() {
	ctx := context.Background()
	platform := &store.Memory{}
	edited, err := table.ParseCSV(strings.NewReader(`kind,name,rate,burst
region,accra
team,north-schools,40,80
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	publisher := table.Publisher{
		Store: platform,
	}
	receipt, err := publisher.Publish(ctx, table.Edit{
		ID:    "first table",
		Base:  edited.Version,
		Table: edited,
	})
	fmt.Println(receipt.Version, err)

	var reader table.Reader
	var follower table.SnapshotTracker
	if snapshot, err := reader.Load(ctx, platform); err == nil {
		follower.Update(snapshot)
	}
	fmt.Println(follower.Version(), follower.Current().Table.Teams[0].Name)
	// Output:
	// 1 <nil>
	// 1 north-schools
}

// Every fault of a file comes with its place and what is accepted there.
func ExampleParseCSV() {
	_, err := table.ParseCSV(strings.NewReader(`kind;name;rate;burst
region;accra
team;North;0,5;2
team;south;many;80
`))
	fmt.Println(err)
	// Output:
	// the table has 2 faults
	//   row 3, team North, column name: "North"; accepted: 1 to 63 lower-case letters, digits and hyphens, with no hyphen at either end
	//   row 4, team, column rate: "many"; accepted: a number such as 250 or 0.5
}

// Two edits of different rows are merged.
func ExampleMerge() {
	parse := func(rates ...string) table.Table {
		t, _ := table.ParseCSV(strings.NewReader("kind,name,rate,burst\nteam,north," + rates[0] + ",80\nteam,south," + rates[1] + ",80\n"))
		return t
	}
	merged, err := table.Merge(parse("40", "40"), parse("50", "40"), parse("40", "60"))
	for _, change := range table.Diff(parse("40", "40"), merged) {
		fmt.Println(table.FormatChange(change))
	}
	fmt.Println(err)
	// Output:
	// ~ team north: rate 40 -> 50
	// ~ team south: rate 40 -> 60
	// <nil>
}

// TestExampleTables checks the tables of the two deployments.
func TestExampleTables(t *testing.T) {
	for _, name := range []string{"chalkline", "vargas"} {
		file, err := os.Open("../examples/" + name + "/table.csv")
		require.NoError(t, err)
		defer file.Close()
		read, err := table.ParseCSV(file)
		require.NoError(t, err)
		require.Len(t, read.Regions, 3)
		require.Len(t, read.Teams, 8)
		require.Len(t, read.Links, 6)
	}
}
