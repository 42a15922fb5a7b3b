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
func TestSnapshotTrackerNeverGoesBack(t *testing.T) {
	store, other := newStore(), newStore()
	var versions []*table.Snapshot
	for i := range 5 {
		rate := fmt.Sprintf(",%d,600,", 100+i)
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), parseTable(t, smallTableWith(",400,600,", rate)))
		versions = append(versions, load(t, store))
	}
	publish(t, other, "other", 0, parseTable(t, smallTable))
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
func TestLoadRejectsCorruptObjects(t *testing.T) {
	store := newStore()
	publish(t, store, "a", 0, parseTable(t, smallTable))
	head := load(t, store).Head
	for key, object := range store.shared.byKey {
		for _, value := range []string{"", "{}", string(object.Value[:len(object.Value)-2]) + " }"} {
			store.shared.byKey[key] = objectstore.Object{
				Key:   key,
				Value: []byte(value),
			}
			reader := table.Reader{}
			_, err := reader.Load(t.Context(), store)
			var corrupt *table.CorruptObjectError
			require.ErrorAs(t, err, &corrupt)
		}
		store.shared.byKey[key] = object
	}
	require.Equal(t, head, load(t, store).Head)
}

// TestPublishRejectsInvalidEdits writes nothing of a table with a fault.
func TestPublishRejectsInvalidEdits(t *testing.T) {
	store := newStore()
	invalid := parseTable(t, smallTable)
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
		Table: parseTable(t, smallTable),
	})
	var unnamed *table.MissingEditIDError
	require.ErrorAs(t, err, &unnamed)
	require.Zero(t, store.shared.puts)

	publish(t, store, "a", 0, parseTable(t, smallTable))
	_, err = publisher.Publish(t.Context(), table.Edit{
		ID:    "a",
		Base:  1,
		Table: parseTable(t, smallTableWith(",400,600,", ",500,600,")),
	})
	var reused *table.EditIDReusedError
	require.ErrorAs(t, err, &reused)
}

// TestHeadKeepsLatestEdits keeps the head small however many versions there
// are.
func TestHeadKeepsLatestEdits(t *testing.T) {
	store := newStore()
	edited := parseTable(t, smallTable)
	for i := range table.MaxRecentEdits + 2 {
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), edited)
	}
	head := load(t, store).Head
	require.Len(t, head.RecentEdits, table.MaxRecentEdits)
	require.Equal(t, table.EditID("2"), head.RecentEdits[0].ID)
}
