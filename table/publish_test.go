package table_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/table"
)

func load(t *testing.T, source table.Getter) *table.Snapshot {
	t.Helper()
	reader := table.Reader{}
	snapshot, err := reader.Load(t.Context(), source)
	require.NoError(t, err)
	return snapshot
}

func publish(t *testing.T, store *client, id table.EditID, base table.Version, edited table.Table) table.PublishResult {
	t.Helper()
	publisher := table.Publisher{
		Store: store,
	}
	receipt, err := publisher.Publish(t.Context(), table.Edit{
		ID:    id,
		Base:  base,
		Table: edited,
	})
	require.NoError(t, err)
	return receipt
}

func TestPublishAndLoad(t *testing.T) {
	store := newStore()
	reader := table.Reader{}
	_, err := reader.Load(t.Context(), store)
	var none *table.NoTableError
	require.ErrorAs(t, err, &none)

	first := parse(t, small)
	require.Equal(t, table.Version(1), publish(t, store, "a", 0, first).Version)
	require.Empty(t, table.Diff(first, load(t, store).Table))

	again := publish(t, store, "a", 0, first)
	require.Equal(t, table.PublishResult{
		Version:          1,
		AlreadyPublished: true,
		CurrentVersion:   1,
	}, again)

	second := table.ApplyChanges(first, []table.Change{
		table.Removed{
			Row: first.Teams[0],
		},
	})
	require.Equal(t, table.Version(2), publish(t, store, "b", 1, second).Version)
	require.Empty(t, table.Diff(second, load(t, store).Table))

	peer := load(t, load(t, store))
	require.Equal(t, load(t, store).Table, peer.Table)

	old, err := table.ReadVersion(t.Context(), store, 1)
	require.NoError(t, err)
	require.Empty(t, table.Diff(first, old.Table))
	_, err = table.ReadVersion(t.Context(), store, 9)
	var missing *table.VersionNotFoundError
	require.ErrorAs(t, err, &missing)

	publisher := table.Publisher{
		Store: store,
	}
	receipt, err := publisher.Restore(t.Context(), 1, table.Edit{
		ID:   "c",
		Base: 2,
	})
	require.NoError(t, err)
	require.Equal(t, table.Version(3), receipt.Version)
	require.Empty(t, table.Diff(first, load(t, store).Table))
	history, err := table.History(t.Context(), store, 0)
	require.NoError(t, err)
	require.Len(t, history, 3)
	require.Equal(t, table.EditID("c"), history[0].EditID)
}

// TestEditMovesOnlyWhatDiffers wants an edit of one block to cost three writes
// (its part, the manifest, the head) and a host that follows it as many reads.
func TestEditMovesOnlyWhatDiffers(t *testing.T) {
	store := newStore()
	large := largeTable(10 * table.BlocksPerPart)
	publish(t, store, "a", 0, large)
	reader := table.Reader{}
	_, err := reader.Load(t.Context(), store)
	require.NoError(t, err)
	puts := store.store.puts
	moveBlock(large, 7)
	publish(t, store, "b", 1, large)
	require.Equal(t, 3, store.store.puts-puts)
	gets := store.store.gets
	snapshot, err := reader.Load(t.Context(), store)
	require.NoError(t, err)
	require.Equal(t, 3, store.store.gets-gets)
	require.Empty(t, table.Diff(large, snapshot.Table))
	require.Equal(t, snapshot.Table, load(t, snapshot).Table, "a peer serves every part as it lies in the store")
}
