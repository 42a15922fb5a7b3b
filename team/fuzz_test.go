package team_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/team"
)

// FuzzParseAPIKey checks that each key has exactly one text, and that errors do
// not repeat the text, which would put keys into logs.
func FuzzParseAPIKey(f *testing.F) {
	key, err := team.NewAPIKey(nil)
	require.NoError(f, err)
	f.Add(key.Reveal())
	f.Add("")
	f.Add(team.APIKeyPrefix)
	f.Add(key.Reveal()[:team.APIKeyLength-1] + "\n")
	f.Add(key.Reveal()[:team.APIKeyLength-1] + "-")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := team.ParseAPIKey(text)
		if err == nil {
			require.Equal(t, text, parsed.Reveal())
			return
		}
		var noKey *team.NoKeyError
		var malformed *team.MalformedKeyError
		require.True(t, errors.As(err, &noKey) || errors.As(err, &malformed))
		if len(text) > len(team.APIKeyPrefix) {
			require.NotContains(t, err.Error(), text)
		}
	})
}
