package host_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
)

// validSettings holds one key that this version does not know, which must be ignored.
const validSettings = `{"host":"accra-1","region":"accra","zone":"accra-a","zones":{"accra-a":"accra"},
"entry":"10.0.0.1:80","ready":"10.0.0.1:81","look-ups":"10.0.0.1:82","peers":"10.0.0.1:83","seeds":["10.0.0.2:83"],
"store":"10.0.0.9:80","look-up-seconds":5,"grace-seconds":6,"retry-ratio":0.2,"retry-slack":64,
"quota-overshoot":0.1,"quota-slack":20,"log-level":"info","added-in-a-later-version":7,"max-shift":0.15,
"machine":{"cpu-share":0.16,"core-speed":1,"memory-megabytes":184,"descriptors":4100,"link-megabits":10.5}}`

func readSettings(t *testing.T, text string) (host.Settings, error) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	file := &host.SettingsFile{
		Path: path,
	}
	return file.Read()
}

func TestReadReturnsSettings(t *testing.T) {
	s, err := readSettings(t, validSettings)
	require.NoError(t, err)
	require.Equal(t, "accra-1", s.Host)
	require.Equal(t, "10.0.0.1:83", s.PeerAddress.String())
	require.Equal(t, 64.0, s.RetrySlack)
	require.Equal(t, 0.15, s.MaxShift)
	require.Equal(t, host.Machine{
		CPUShare:        0.16,
		CoreSpeed:       1,
		MemoryMegabytes: 184,
		Descriptors:     4100,
		LinkMegabits:    10.5,
	}, s.Machine)
}

// TestReadRejectsImpossibleMachines guards against limits that are derived from a mistyped machine.
func TestReadRejectsImpossibleMachines(t *testing.T) {
	_, err := readSettings(t, strings.Replace(validSettings, `"cpu-share":0.16,"core-speed":1,"memory-megabytes":184,"descriptors":4100,"link-megabits":10.5`,
		`"cpu-share":-1,"core-speed":-1,"memory-megabytes":-1,"descriptors":-1,"link-megabits":-1`, 1))
	var settingsError *host.SettingsError
	require.ErrorAs(t, err, &settingsError)
	require.Len(t, settingsError.Problems, 5)
}

func TestReadReportsAllProblems(t *testing.T) {
	_, err := readSettings(t, `{"zone":"accra-a","zones":{"accra-a":"kumasi"},"entry":"10.0.0.1:0","log-level":"loud","retry-ratio":-1}`)
	var settingsError *host.SettingsError
	require.ErrorAs(t, err, &settingsError)
	require.Len(t, settingsError.Problems, 12)
	for _, text := range []string{``, `[]`, `{"entry":"nowhere"}`} {
		_, err = readSettings(t, text)
		require.ErrorAs(t, err, &settingsError, text)
		require.Error(t, settingsError.Cause)
	}
	missing := &host.SettingsFile{
		Path: filepath.Join(t.TempDir(), "none"),
	}
	_, err = missing.Read()
	require.ErrorIs(t, err, os.ErrNotExist)
}
