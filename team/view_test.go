package team_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/team"
)

// fleet is a store and hosts that learn of keys in any order: by watches, by
// lists that may be old, and from each other.
type fleet struct {
	store *lossyStore
	// past holds what the store held at earlier moments.
	past  [][]objectstore.Object
	hosts []*team.KeySet
	// keys are in the order of their issue.
	keys []team.APIKey
	now  time.Time
}

func newFleet() *fleet {
	return &fleet{
		store: newStore(),
		hosts: []*team.KeySet{{}, {}, {}},
		now:   noon,
	}
}

func (f *fleet) listed() []objectstore.Object {
	objects, err := f.store.List(context.Background(), team.KeyRecordPrefix)
	if err != nil {
		panic(err)
	}
	slices.SortFunc(objects, func(a, b objectstore.Object) int { return int(a.Version) - int(b.Version) })
	return objects
}

func (f *fleet) issue(t *rapid.T) {
	office := team.KeyManager{
		Store: f.store,
	}
	key, _, err := office.Issue(context.Background(), "north-chain", "")
	require.NoError(t, err)
	f.keys = append(f.keys, key)
	f.past = append(f.past, f.listed())
}

func (f *fleet) withdraw(t *rapid.T) {
	if len(f.keys) == 0 {
		return
	}
	office := team.KeyManager{
		Store: f.store,
	}
	_, err := office.Withdraw(context.Background(), rapid.SampledFrom(f.keys).Draw(t, "key").Hash())
	require.NoError(t, err)
	f.past = append(f.past, f.listed())
}

// watch brings a host the changes after a version, which may be long known.
func (f *fleet) watch(t *rapid.T) {
	after := objectstore.Version(rapid.Uint64Range(0, uint64(f.store.version)).Draw(t, "after"))
	changes := objectstore.Changes{
		Next: f.store.version,
	}
	for _, object := range f.listed() {
		if object.Version > after {
			changes.Objects = append(changes.Objects, object)
		}
	}
	f.host(t).ApplyChanges(changes, f.tick())
}

// list brings a host a full list, which may have been long on its way.
func (f *fleet) list(t *rapid.T) {
	if len(f.past) > 0 {
		f.host(t).ApplyList(rapid.SampledFrom(f.past).Draw(t, "list"), f.tick())
	}
}

// gossip brings a host what another knows, sent over the network.
func (f *fleet) gossip(t *rapid.T) {
	sent := f.host(t).View()
	f.host(t).Merge(team.NewView(sent.KeyStates(), sent.Version, sent.ConfirmedAt))
}

func (f *fleet) host(t *rapid.T) *team.KeySet { return rapid.SampledFrom(f.hosts).Draw(t, "host") }

func (f *fleet) tick() time.Time {
	f.now = f.now.Add(time.Second)
	return f.now
}

// good returns the keys that a view takes.
func (f *fleet) good(v team.View) map[team.Hash]bool {
	good := make(map[team.Hash]bool)
	for _, key := range f.keys {
		if _, err := v.Verify(key.Reveal()); err == nil {
			good[key.Hash()] = true
		}
	}
	return good
}

func (f *fleet) withdrawn(v team.View) map[team.Hash]bool {
	withdrawn := make(map[team.Hash]bool)
	for _, s := range v.KeyStates() {
		if s.Withdrawn {
			withdrawn[s.Hash] = true
		}
	}
	return withdrawn
}

// TestWithdrawnKeysNeverReturn runs any order of the fleet's steps. No host may
// take a key that it knew as withdrawn, and in the end every host takes exactly
// the keys that the store holds as good.
func TestWithdrawnKeysNeverReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		known := make([]map[team.Hash]bool, len(f.hosts))
		t.Repeat(map[string]func(*rapid.T){
			"issue":    f.issue,
			"withdraw": f.withdraw,
			"watch":    f.watch,
			"list":     f.list,
			"gossip":   f.gossip,
			"": func(t *rapid.T) {
				for i, h := range f.hosts {
					withdrawn := f.withdrawn(h.View())
					for hash := range known[i] {
						require.True(t, withdrawn[hash], "a withdrawn key came back")
					}
					known[i] = withdrawn
					require.Zero(t, h.Violations())
				}
			},
		})
		want := f.good(team.View{}.ApplyList(f.listed(), f.now))
		for _, h := range f.hosts {
			h.ApplyList(f.listed(), f.tick())
			require.Equal(t, want, f.good(h.View()))
			require.Equal(t, f.now, h.View().ConfirmedAt)
		}
	})
}

// TestListOlderThanPeer keeps a key that a peer told of while an older list was
// on its way, and refuses one that the store lost.
func TestListOlderThanPeer(t *testing.T) {
	kept := newStore()
	office := team.KeyManager{
		Store: kept,
	}
	first, firstRecord, err := office.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	old, err := kept.List(t.Context(), team.KeyRecordPrefix)
	require.NoError(t, err)
	second, _, err := office.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	view := kept.view(t).ApplyList(old, noon)
	_, err = view.Verify(second.Reveal())
	require.NoError(t, err)

	delete(kept.held, team.ObjectKey(firstRecord.Hash))
	newer, err := kept.List(t.Context(), team.KeyRecordPrefix)
	require.NoError(t, err)
	var withdrawn *team.WithdrawnKeyError
	_, err = view.ApplyList(newer, noon).Verify(first.Reveal())
	require.ErrorAs(t, err, &withdrawn)
	_, err = view.ApplyChanges(objectstore.Changes{
		Objects: []objectstore.Object{
			{
				Key:     team.ObjectKey(firstRecord.Hash),
				Deleted: true,
				Version: 9,
			},
		},
	}, noon).Verify(first.Reveal())
	require.ErrorAs(t, err, &withdrawn)
}

// TestCorruptRecordIsRefused refuses a key whose record cannot be read: it may
// be a withdrawal.
func TestCorruptRecordIsRefused(t *testing.T) {
	kept := newStore()
	office := team.KeyManager{
		Store: kept,
	}
	key, record, err := office.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	object := kept.held[team.ObjectKey(record.Hash)]
	object.Value = []byte("{")
	kept.held[object.Key] = object
	kept.held[team.KeyRecordPrefix+"x"] = objectstore.Object{
		Key: team.KeyRecordPrefix + "x",
	}
	view := kept.view(t)
	require.Equal(t, 2, view.CorruptObjects)
	_, err = view.Verify(key.Reveal())
	var withdrawn *team.WithdrawnKeyError
	require.ErrorAs(t, err, &withdrawn)
}
