package apikey_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/objectstore"
)

var noon = time.Date(2027, time.January, 31, 12, 0, 0, 0, time.UTC)

// lossyStore is a store that loses the reply of every loseEvery-th write after the
// write took effect. If loseEvery is zero, it loses none.
type lossyStore struct {
	objectstore.Store
	objects   map[string]objectstore.Object
	version   objectstore.Version
	puts      int
	loseEvery int
}

func newStore() *lossyStore {
	return &lossyStore{
		objects: make(map[string]objectstore.Object),
	}
}

func (s *lossyStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	object, found := s.objects[key]
	if !found {
		return object, &objectstore.NotFoundError{
			Key: key,
		}
	}
	return object, nil
}

func (s *lossyStore) Put(_ context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	current, found := s.objects[key]
	isConflict := false
	switch c := condition.(type) {
	case objectstore.IfVersion:
		isConflict = c.Version != current.Version
	case objectstore.IfAbsent:
		isConflict = found
	}
	if isConflict {
		return 0, &objectstore.ConflictError{
			Key:            key,
			CurrentVersion: current.Version,
		}
	}
	s.version++
	s.puts++
	s.objects[key] = objectstore.Object{
		Key:     key,
		Value:   value,
		Version: s.version,
	}
	if s.loseEvery > 0 && s.puts%s.loseEvery == 0 {
		return 0, &objectstore.UnknownOutcomeError{
			Key: key,
		}
	}
	return s.version, nil
}

func (s *lossyStore) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	var found []objectstore.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	return found, nil
}

func (s *lossyStore) view(t *testing.T) apikey.View {
	t.Helper()
	objects, err := s.List(t.Context(), apikey.KeyRecordPrefix)
	require.NoError(t, err)
	return apikey.View{}.ApplyList(objects, noon)
}

// TestIssueAndWithdrawDespiteLostReplies issues and withdraws an API key with a
// store that loses the replies of some writes. The key must be valid until it is
// withdrawn, and the store must never hold its text.
func TestIssueAndWithdrawDespiteLostReplies(t *testing.T) {
	for _, loseEvery := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("one write in %d loses its reply", loseEvery), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := newStore()
				memory.loseEvery = loseEvery
				manager := apikey.KeyManager{
					Store: memory,
				}
				key, record, err := manager.Issue(t.Context(), "north-chain", "till")
				require.NoError(t, err)
				for objectKey, object := range memory.objects {
					require.NotContains(t, objectKey+string(object.Value), key.Reveal()[len(apikey.APIKeyPrefix):])
				}
				name, err := memory.view(t).Verify(key.Reveal())
				require.NoError(t, err)
				require.Equal(t, "north-chain", name)

				withdrawn, err := manager.Withdraw(t.Context(), record.Hash)
				require.NoError(t, err)
				require.False(t, withdrawn.WithdrawnAt.IsZero())
				again, err := manager.Withdraw(t.Context(), record.Hash)
				require.NoError(t, err)
				require.Equal(t, withdrawn, again)
				_, err = memory.view(t).Verify(key.Reveal())
				var withdrawnKey *apikey.WithdrawnKeyError
				require.ErrorAs(t, err, &withdrawnKey)
				require.Equal(t, "north-chain", withdrawnKey.Team)
			})
		})
	}
}

func TestInvalidKeysAndTeamsAreRejected(t *testing.T) {
	memory := newStore()
	manager := apikey.KeyManager{
		Store: memory,
	}
	_, _, err := manager.Issue(t.Context(), "No Team", "")
	var invalidTeam *apikey.InvalidTeamNameError
	require.ErrorAs(t, err, &invalidTeam)
	key, _, err := manager.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	_, err = manager.Withdraw(t.Context(), apikey.Hash{})
	var noSuchKey *apikey.NoSuchKeyError
	require.ErrorAs(t, err, &noSuchKey)

	view := memory.view(t)
	_, err = view.Verify("")
	var noKey *apikey.NoKeyError
	require.ErrorAs(t, err, &noKey)
	_, err = view.Verify(key.Reveal() + "x")
	var malformed *apikey.MalformedKeyError
	require.ErrorAs(t, err, &malformed)
	require.NotContains(t, err.Error(), key.Reveal())
	other, err := apikey.NewAPIKey(nil)
	require.NoError(t, err)
	_, err = view.Verify(other.Reveal())
	var unknown *apikey.UnknownKeyError
	require.ErrorAs(t, err, &unknown)
	_, err = apikey.View{}.Verify(key.Reveal())
	require.ErrorAs(t, err, &unknown)
}

// TestPrintedKeyIsHidden prints and encodes an API key with the verbs of package
// fmt and as JSON. Otherwise a log line could contain a usable key.
func TestPrintedKeyIsHidden(t *testing.T) {
	key, err := apikey.NewAPIKey(nil)
	require.NoError(t, err)
	encoded, err := json.Marshal(key)
	require.NoError(t, err)
	text := fmt.Sprintf("%v %+v %#v %s %q %x %d", key, key, key, key, key, key, &key) + string(encoded)
	require.NotContains(t, text, key.Reveal()[len(apikey.APIKeyPrefix):len(apikey.APIKeyPrefix)+6])
	require.NotContains(t, text, fmt.Sprintf("%x", key.Hash())[:6])
}
