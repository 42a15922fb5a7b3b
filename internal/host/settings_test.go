package host_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
)

const good = `{"host":"accra-1","region":"accra","zone":"accra-a","zones":{"accra-a":"accra"},
"entry":"10.0.0.1:80","ready":"10.0.0.1:81","look-ups":"10.0.0.1:82","peers":"10.0.0.1:83","seeds":["10.0.0.2:83"],
"store":"10.0.0.9:80","look-up-seconds":5,"grace-seconds":6,"retry-ratio":0.2,"retry-slack":64,
"quota-overshoot":0.1,"quota-slack":20,"log-level":"info","of-a-later-day":7}`

func read(t *testing.T, text string) (host.Settings, error) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	file := &host.SettingsFile{
		Path: path,
	}
	return file.Read()
}

func TestSettingsAreRead(t *testing.T) {
	s, err := read(t, good)
	require.NoError(t, err)
	require.Equal(t, "accra-1", s.Host)
	require.Equal(t, "10.0.0.1:83", s.PeerAddress.String())
	require.Equal(t, 64.0, s.RetrySlack)
}

func TestAllFaultsOfTheSettingsAreTold(t *testing.T) {
	_, err := read(t, `{"zone":"accra-a","zones":{"accra-a":"kumasi"},"entry":"10.0.0.1:0","log-level":"loud","retry-ratio":-1}`)
	var wrong *host.SettingsError
	require.ErrorAs(t, err, &wrong)
	require.Len(t, wrong.Problems, 12)
	for _, text := range []string{``, `[]`, `{"entry":"nowhere"}`} {
		_, err = read(t, text)
		require.ErrorAs(t, err, &wrong, text)
		require.Error(t, wrong.Cause)
	}
	missing := &host.SettingsFile{
		Path: filepath.Join(t.TempDir(), "none"),
	}
	_, err = missing.Read()
	require.ErrorIs(t, err, os.ErrNotExist)
}
