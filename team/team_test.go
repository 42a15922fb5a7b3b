package team_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/team"
)

var noon = time.Date(2027, time.January, 31, 12, 0, 0, 0, time.UTC)

// lossyStore is a store whose every lostEach-th write loses its answer after it took
// effect; zero loses none.
type lossyStore struct {
	objectstore.Store
	held     map[string]objectstore.Object
	version  objectstore.Version
	puts     int
	lostEach int
}

func newStore() *lossyStore {
	return &lossyStore{
		held: make(map[string]objectstore.Object),
	}
}

func (s *lossyStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	object, found := s.held[key]
	if !found {
		return object, &objectstore.NotFoundError{
			Key: key,
		}
	}
	return object, nil
}

func (s *lossyStore) Put(_ context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	held, found := s.held[key]
	refused := false
	switch wanted := condition.(type) {
	case objectstore.IfVersion:
		refused = wanted.Version != held.Version
	case objectstore.IfAbsent:
		refused = found
	}
	if refused {
		return 0, &objectstore.ConflictError{
			Key:            key,
			CurrentVersion: held.Version,
		}
	}
	s.version++
	s.puts++
	s.held[key] = objectstore.Object{
		Key:     key,
		Value:   value,
		Version: s.version,
	}
	if s.lostEach > 0 && s.puts%s.lostEach == 0 {
		return 0, &objectstore.UnknownOutcomeError{
			Key: key,
		}
	}
	return s.version, nil
}

func (s *lossyStore) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	var found []objectstore.Object
	for key, object := range s.held {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	return found, nil
}

func (s *lossyStore) view(t *testing.T) team.View {
	t.Helper()
	objects, err := s.List(t.Context(), team.Prefix)
	require.NoError(t, err)
	return team.View{}.Refresh(objects, noon)
}

func TestIssueAndWithdraw(t *testing.T) {
	for _, lostEach := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("every %d. answer lost", lostEach), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kept := newStore()
				kept.lostEach = lostEach
				office := team.Office{
					Store: kept,
				}
				key, record, err := office.Issue(t.Context(), "north-chain", "till")
				require.NoError(t, err)
				for objectKey, object := range kept.held {
					require.NotContains(t, objectKey+string(object.Value), key.Reveal()[len(team.KeyPrefix):])
				}
				name, err := kept.view(t).Verify(key.Reveal())
				require.NoError(t, err)
				require.Equal(t, "north-chain", name)

				withdrawn, err := office.Withdraw(t.Context(), record.Hash)
				require.NoError(t, err)
				require.False(t, withdrawn.Withdrawn.IsZero())
				again, err := office.Withdraw(t.Context(), record.Hash)
				require.NoError(t, err)
				require.Equal(t, withdrawn, again)
				_, err = kept.view(t).Verify(key.Reveal())
				var gone *team.WithdrawnKeyError
				require.ErrorAs(t, err, &gone)
				require.Equal(t, "north-chain", gone.Team)
			})
		})
	}
}

func TestVerifyRefuses(t *testing.T) {
	kept := newStore()
	office := team.Office{
		Store: kept,
	}
	_, _, err := office.Issue(t.Context(), "No Team", "")
	var malformedTeam *team.MalformedTeamError
	require.ErrorAs(t, err, &malformedTeam)
	key, _, err := office.Issue(t.Context(), "north-chain", "")
	require.NoError(t, err)
	_, err = office.Withdraw(t.Context(), team.Hash{})
	var missing *team.NoSuchKeyError
	require.ErrorAs(t, err, &missing)

	view := kept.view(t)
	_, err = view.Verify("")
	var none *team.NoKeyError
	require.ErrorAs(t, err, &none)
	_, err = view.Verify(key.Reveal() + "x")
	var malformed *team.MalformedKeyError
	require.ErrorAs(t, err, &malformed)
	require.NotContains(t, err.Error(), key.Reveal())
	other, err := team.NewKey(nil)
	require.NoError(t, err)
	_, err = view.Verify(other.Reveal())
	var unknown *team.UnknownKeyError
	require.ErrorAs(t, err, &unknown)
	_, err = team.View{}.Verify(key.Reveal())
	require.ErrorAs(t, err, &unknown)
}

// TestKeyIsHidden prints and encodes a key in every usual way.
func TestKeyIsHidden(t *testing.T) {
	key, err := team.NewKey(nil)
	require.NoError(t, err)
	encoded, err := json.Marshal(key)
	require.NoError(t, err)
	text := fmt.Sprintf("%v %+v %#v %s %q %x %d", key, key, key, key, key, key, &key) + string(encoded)
	require.NotContains(t, text, key.Reveal()[len(team.KeyPrefix):len(team.KeyPrefix)+6])
	require.NotContains(t, text, fmt.Sprintf("%x", key.Hash())[:6])
}
