package apikey_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/apikey"
)

// FuzzParseAPIKey checks that each key has exactly one text, and that errors do
// not repeat the text, which would put keys into logs.
func FuzzParseAPIKey(f *testing.F) {
	key, err := apikey.NewAPIKey(nil)
	require.NoError(f, err)
	f.Add(key.Reveal())
	f.Add("")
	f.Add(apikey.APIKeyPrefix)
	f.Add(key.Reveal()[:apikey.APIKeyLength-1] + "\n")
	f.Add(key.Reveal()[:apikey.APIKeyLength-1] + "-")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := apikey.ParseAPIKey(text)
		if err == nil {
			require.Equal(t, text, parsed.Reveal())
			return
		}
		var noKey *apikey.NoKeyError
		var malformed *apikey.MalformedKeyError
		require.True(t, errors.As(err, &noKey) || errors.As(err, &malformed))
		if len(text) > len(apikey.APIKeyPrefix) {
			require.NotContains(t, err.Error(), text)
		}
	})
}
