package table_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// TestFollowerNeverGoesBack offers versions in any order, from lagging sources
// and from one that breaks its promise.
func TestFollowerNeverGoesBack(t *testing.T) {
	store, other := newStore(), newStore()
	var versions []*table.Snapshot
	for i := range 5 {
		rate := fmt.Sprintf(",%d,600,", 100+i)
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), parse(t, replaced(",400,600,", rate)))
		versions = append(versions, load(t, store))
	}
	publish(t, other, "other", 0, parse(t, small))
	rapid.Check(t, func(t *rapid.T) {
		var follower table.SnapshotTracker
		highest := table.Version(0)
		lower := int64(0)
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(versions)-1)).Draw(t, "offers") {
			version := versions[i].Head.Version
			require.Equal(t, version > highest, follower.Update(versions[i]))
			if version < highest {
				lower++
			}
			highest = max(highest, version)
			require.Equal(t, highest, follower.Version())
			require.Equal(t, lower, follower.IgnoredCount())
		}
		require.Zero(t, follower.DuplicateVersionCount())
	})
	var follower table.SnapshotTracker
	var seen []table.DuplicateVersion
	follower.OnDuplicateVersion = func(v table.DuplicateVersion) { seen = append(seen, v) }
	follower.Update(versions[0])
	require.False(t, follower.Update(load(t, other)))
	require.Equal(t, int64(1), follower.DuplicateVersionCount())
	require.Len(t, seen, 1)
	require.Equal(t, versions[0], follower.Current())
}

// TestStoreThatLies loads nothing from a store whose objects do not hold what
// their names say.
func TestStoreThatLies(t *testing.T) {
	store := newStore()
	publish(t, store, "a", 0, parse(t, small))
	head := load(t, store).Head
	for key, object := range store.store.held {
		for _, value := range []string{"", "{}", string(object.Value[:len(object.Value)-2]) + " }"} {
			store.store.held[key] = objectstore.Object{
				Key:   key,
				Value: []byte(value),
			}
			reader := table.Reader{}
			_, err := reader.Load(t.Context(), store)
			var corrupt *table.CorruptObjectError
			require.ErrorAs(t, err, &corrupt)
		}
		store.store.held[key] = object
	}
	require.Equal(t, head, load(t, store).Head)
}

// TestInvalidTableIsNotPublished writes nothing of a table with a fault.
func TestInvalidTableIsNotPublished(t *testing.T) {
	store := newStore()
	invalid := parse(t, small)
	invalid.Teams[0].Burst = 0
	publisher := table.Publisher{
		Store: store,
	}
	_, err := publisher.Publish(t.Context(), table.Edit{
		ID:    "a",
		Table: invalid,
	})
	var faults *table.InvalidError
	require.ErrorAs(t, err, &faults)
	require.Zero(t, faults.Problems[0].Row)
	_, err = publisher.Publish(t.Context(), table.Edit{
		Table: parse(t, small),
	})
	var unnamed *table.MissingEditIDError
	require.ErrorAs(t, err, &unnamed)
	require.Zero(t, store.store.puts)

	publish(t, store, "a", 0, parse(t, small))
	_, err = publisher.Publish(t.Context(), table.Edit{
		ID:    "a",
		Base:  1,
		Table: parse(t, replaced(",400,600,", ",500,600,")),
	})
	var reused *table.EditIDReusedError
	require.ErrorAs(t, err, &reused)
}

// TestHeadRemembersLatestEdits keeps the head small however many versions there
// are.
func TestHeadRemembersLatestEdits(t *testing.T) {
	store := newStore()
	edited := parse(t, small)
	for i := range table.MaxRecentEdits + 2 {
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), edited)
	}
	head := load(t, store).Head
	require.Len(t, head.RecentEdits, table.MaxRecentEdits)
	require.Equal(t, table.EditID("2"), head.RecentEdits[0].ID)
}
