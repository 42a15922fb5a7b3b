package table_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// TestSnapshotTrackerNeverGoesBack updates a tracker with versions in any order, as
// sources that lag behind return them, and with a different table that has the same
// version number, which must be rejected and reported.
func TestSnapshotTrackerNeverGoesBack(t *testing.T) {
	store, otherStore := newStore(), newStore()
	var snapshots []*table.Snapshot
	for i := range 5 {
		rate := fmt.Sprintf(",%d,600,", 100+i)
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), parseTable(t, smallTableWith(",400,600,", rate)))
		snapshots = append(snapshots, load(t, store))
	}
	publish(t, otherStore, "other", 0, parseTable(t, smallTable))
	rapid.Check(t, func(t *rapid.T) {
		var tracker table.SnapshotTracker
		highest := table.Version(0)
		ignored := int64(0)
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(snapshots)-1)).Draw(t, "offers") {
			version := snapshots[i].Head.Version
			require.Equal(t, version > highest, tracker.Update(snapshots[i]))
			if version < highest {
				ignored++
			}
			highest = max(highest, version)
			require.Equal(t, highest, tracker.Version())
			require.Equal(t, ignored, tracker.IgnoredCount())
		}
		require.Zero(t, tracker.DuplicateVersionCount())
	})
	var tracker table.SnapshotTracker
	var reported []table.DuplicateVersion
	tracker.OnDuplicateVersion = func(v table.DuplicateVersion) { reported = append(reported, v) }
	tracker.Update(snapshots[0])
	require.False(t, tracker.Update(load(t, otherStore)))
	require.Equal(t, int64(1), tracker.DuplicateVersionCount())
	require.Len(t, reported, 1)
	require.Equal(t, snapshots[0], tracker.Current())
}

// TestLoadRejectsCorruptObjects replaces the content of each stored object in turn, so
// that it no longer matches the hash in its key, or is no valid head. Loading must
// fail with a CorruptObjectError.
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

// TestPublishRejectsInvalidEdits checks that an edit with an invalid table or without
// an ID writes nothing to the store, and that the ID of an earlier edit with
// different content is rejected.
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
	var invalidError *table.InvalidError
	require.ErrorAs(t, err, &invalidError)
	require.Zero(t, invalidError.Problems[0].Line)
	_, err = publisher.Publish(t.Context(), table.Edit{
		Table: parseTable(t, smallTable),
	})
	var missingID *table.MissingEditIDError
	require.ErrorAs(t, err, &missingID)
	require.Zero(t, store.shared.puts)

	publish(t, store, "a", 0, parseTable(t, smallTable))
	_, err = publisher.Publish(t.Context(), table.Edit{
		ID:    "a",
		Base:  1,
		Table: parseTable(t, smallTableWith(",400,600,", ",500,600,")),
	})
	var reusedID *table.EditIDReusedError
	require.ErrorAs(t, err, &reusedID)
}

// TestHeadKeepsLatestEdits checks that the head lists at most MaxRecentEdits edits, so
// that it does not grow with the number of versions.
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
