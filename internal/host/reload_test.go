package host_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/observe"
)

// TestWatchAppliesOnlyValidChanges changes the settings file to valid settings, to half a
// file, to an invalid value and back to valid settings. The invalid contents must not be
// applied, and each must be logged once.
func TestWatchAppliesOnlyValidChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) {
		// The rename replaces the file at once, so a concurrent read gets all of the old
		// or all of the new content.
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
	}
	write(validSettings)
	reloadSignal := make(chan os.Signal)
	core, logged := observer.New(zapcore.InfoLevel)
	file := &host.SettingsFile{
		Path:         path,
		ReloadSignal: reloadSignal,
		Log: observe.Log{
			Logger: zap.New(core),
		},
	}
	_, err := file.Read()
	require.NoError(t, err)
	var applied []float64
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		file.Watch(ctx, func(s host.Settings) { applied = append(applied, s.RetrySlack) })
	}()
	// The second signal is received only after the first reload is done.
	reload := func() {
		reloadSignal <- os.Interrupt
		reloadSignal <- os.Interrupt
	}
	reload()
	changed := strings.Replace(validSettings, `"retry-slack":64`, `"retry-slack":32`, 1)
	write(changed)
	reload()
	write(changed[:len(changed)/2])
	reload()
	write(strings.Replace(validSettings, `"retry-slack":64`, `"retry-slack":-1`, 1))
	reload()
	write(changed)
	reload()
	stop()
	<-ended
	require.Equal(t, []float64{32, 32}, applied)
	require.Equal(t, 2, logged.FilterMessage(observe.SettingsInvalid.Name).Len(), "each error must be logged once")
}
