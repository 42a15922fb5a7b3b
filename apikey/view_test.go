package apikey_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/objectstore"
)

// fleet is a store and a few hosts. The hosts learn of keys from watches, from
// lists that may be outdated, and from each other, in any order.
type fleet struct {
	store *lossyStore
	// lists holds the full list after each change of the store.
	lists [][]objectstore.Object
	hosts []*apikey.KeySet
	// keys holds the issued keys in the order of issue.
	keys []apikey.APIKey
	now  time.Time
}

func newFleet() *fleet {
	return &fleet{
		store: newStore(),
		hosts: []*apikey.KeySet{{}, {}, {}},
		now:   noon,
	}
}

func (f *fleet) listRecords() []objectstore.Object {
	objects, err := f.store.List(context.Background(), apikey.KeyRecordPrefix)
	if err != nil {
		panic(err)
	}
	slices.SortFunc(objects, func(a, b objectstore.Object) int { return int(a.Version) - int(b.Version) })
	return objects
}

func (f *fleet) issue(t *rapid.T) {
	manager := apikey.KeyManager{
		Store: f.store,
	}
	key, _, err := manager.Issue(context.Background(), "north-chain", "")
	require.NoError(t, err)
	f.keys = append(f.keys, key)
	f.lists = append(f.lists, f.listRecords())
}

func (f *fleet) withdraw(t *rapid.T) {
	if len(f.keys) == 0 {
		return
	}
	manager := apikey.KeyManager{
		Store: f.store,
	}
	_, err := manager.Withdraw(context.Background(), rapid.SampledFrom(f.keys).Draw(t, "key").Hash())
	require.NoError(t, err)
	f.lists = append(f.lists, f.listRecords())
}

// applyChanges gives a host the changes after a version. The host may know them
// already.
func (f *fleet) applyChanges(t *rapid.T) {
	after := objectstore.Version(rapid.Uint64Range(0, uint64(f.store.version)).Draw(t, "after"))
	changes := objectstore.VersionedObjects{
		Next: f.store.version,
	}
	for _, object := range f.listRecords() {
		if object.Version > after {
			changes.Objects = append(changes.Objects, object)
		}
	}
	f.drawHost(t).ApplyChanges(changes, f.advanceClock())
}

// applyList gives a host a full list, which may be outdated.
func (f *fleet) applyList(t *rapid.T) {
	if len(f.lists) > 0 {
		f.drawHost(t).ApplyList(rapid.SampledFrom(f.lists).Draw(t, "list"), f.advanceClock())
	}
}

// mergeFromPeer merges a host's view into another one's, in the form in which it
// is sent over the network.
func (f *fleet) mergeFromPeer(t *rapid.T) {
	sent := f.drawHost(t).View()
	f.drawHost(t).Merge(apikey.NewView(sent.KeyStates(), sent.Version, sent.ConfirmedAt))
}

func (f *fleet) drawHost(t *rapid.T) *apikey.KeySet {
	return rapid.SampledFrom(f.hosts).Draw(t, "host")
}

func (f *fleet) advanceClock() time.Time {
	f.now = f.now.Add(time.Second)
	return f.now
}

// validKeys returns the keys that a view accepts.
func (f *fleet) validKeys(v apikey.View) map[apikey.Hash]bool {
	valid := make(map[apikey.Hash]bool)
	for _, key := range f.keys {
		if _, err := v.Verify(key.Reveal()); err == nil {
			valid[key.Hash()] = true
		}
	}
	return valid
}

// withdrawnKeys returns the keys that a view holds as withdrawn.
func (f *fleet) withdrawnKeys(v apikey.View) map[apikey.Hash]bool {
	withdrawn := make(map[apikey.Hash]bool)
	for _, s := range v.KeyStates() {
		if s.Withdrawn {
			withdrawn[s.Hash] = true
		}
	}
	return withdrawn
}

// TestWithdrawnKeysNeverBecomeValidAgain runs the fleet's steps in random order.
// No host may forget a withdrawal, as it could by applying an outdated list. In
// the end each host accepts exactly the keys that are valid in the store.
func TestWithdrawnKeysNeverBecomeValidAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		known := make([]map[apikey.Hash]bool, len(f.hosts))
		t.Repeat(map[string]func(*rapid.T){
			"issue":    f.issue,
			"withdraw": f.withdraw,
			"watch":    f.applyChanges,
			"list":     f.applyList,
			"gossip":   f.mergeFromPeer,
			"": func(t *rapid.T) {
				for i, h := range f.hosts {
					withdrawn := f.withdrawnKeys(h.View())
					for hash := range known[i] {
						require.True(t, withdrawn[hash], "a withdrawn key became valid again")
					}
					known[i] = withdrawn
					require.Zero(t, h.ViolationCount())
				}
			},
		})
		want := f.validKeys(apikey.View{}.ApplyList(f.listRecords(), f.now))
		for _, h := range f.hosts {
			h.ApplyList(f.listRecords(), f.advanceClock())
			require.Equal(t, want, f.validKeys(h.View()))
			require.Equal(t, f.now, h.View().ConfirmedAt)
		}
	})
}

// TestOutdatedListKeepsNewerKey checks that a key that another host sent stays
// valid when an older list arrives, and that a key whose record is missing from a
// newer list or is deleted counts as withdrawn.
func TestOutdatedListKeepsNewerKey(t *testing.T) {
	memory := newStore()
	manager := apikey.KeyManager{
		Store: memory,
	}
	first, firstRecord, err := manager.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	outdated, err := memory.List(t.Context(), apikey.KeyRecordPrefix)
	require.NoError(t, err)
	second, _, err := manager.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	view := memory.view(t).ApplyList(outdated, noon)
	_, err = view.Verify(second.Reveal())
	require.NoError(t, err)

	delete(memory.objects, apikey.ObjectKey(firstRecord.Hash))
	newer, err := memory.List(t.Context(), apikey.KeyRecordPrefix)
	require.NoError(t, err)
	var withdrawn *apikey.WithdrawnKeyError
	_, err = view.ApplyList(newer, noon).Verify(first.Reveal())
	require.ErrorAs(t, err, &withdrawn)
	_, err = view.ApplyChanges(objectstore.VersionedObjects{
		Objects: []objectstore.Object{
			{
				Key:     apikey.ObjectKey(firstRecord.Hash),
				Deleted: true,
				Version: 9,
			},
		},
	}, noon).Verify(first.Reveal())
	require.ErrorAs(t, err, &withdrawn)
}

// TestKeyWithCorruptRecordIsWithdrawn checks that a key whose record cannot be
// decoded counts as withdrawn, since the record may be a tombstone.
func TestKeyWithCorruptRecordIsWithdrawn(t *testing.T) {
	memory := newStore()
	manager := apikey.KeyManager{
		Store: memory,
	}
	key, record, err := manager.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	object := memory.objects[apikey.ObjectKey(record.Hash)]
	object.Value = []byte("{")
	memory.objects[object.Key] = object
	memory.objects[apikey.KeyRecordPrefix+"x"] = objectstore.Object{
		Key: apikey.KeyRecordPrefix + "x",
	}
	view := memory.view(t)
	require.Equal(t, 2, view.CorruptObjects)
	_, err = view.Verify(key.Reveal())
	var withdrawn *apikey.WithdrawnKeyError
	require.ErrorAs(t, err, &withdrawn)
}
