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

// TestChangedSettingsAreTakenWhileGood replays a file that changes, is torn, stays
// torn, and is whole again.
func TestChangedSettingsAreTakenWhileGood(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) {
		// A read that is under way sees what was there before, or all of this.
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
	}
	write(good)
	hurry := make(chan os.Signal)
	core, logged := observer.New(zapcore.InfoLevel)
	file := &host.SettingsFile{
		Path:         path,
		ReloadSignal: hurry,
		Log: observe.Log{
			Logger: zap.New(core),
		},
	}
	_, err := file.Read()
	require.NoError(t, err)
	var told []float64
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		file.Watch(ctx, func(s host.Settings) { told = append(told, s.RetrySlack) })
	}()
	// A signal is taken once what came before it is done.
	reread := func() {
		hurry <- os.Interrupt
		hurry <- os.Interrupt
	}
	reread()
	changed := strings.Replace(good, `"retry-slack":64`, `"retry-slack":32`, 1)
	write(changed)
	reread()
	write(changed[:len(changed)/2])
	reread()
	write(strings.Replace(good, `"retry-slack":64`, `"retry-slack":-1`, 1))
	reread()
	write(changed)
	reread()
	stop()
	<-ended
	require.Equal(t, []float64{32, 32}, told)
	require.Equal(t, 2, logged.FilterMessage(observe.SettingsInvalid.Name).Len(), "each fault is told once")
}
