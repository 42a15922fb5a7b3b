package host

import (
	"bytes"
	"context"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/observe"
)

// reloadInterval is the time between two reads of the settings file, which may change
// without a signal.
const reloadInterval = 2 * time.Second

// SettingsFile reads a settings file and watches it for changes.
type SettingsFile struct {
	Path string
	// ReloadSignal makes [SettingsFile.Watch] read the file at once. It may be nil.
	ReloadSignal <-chan os.Signal
	// Log is where Watch logs changes that can't be read or are invalid.
	Log observe.Log

	// content is the content of the file at the last read.
	content []byte
	// loggedError is the text of the error that was last logged.
	loggedError string
}

// Read reads and returns the settings. It returns a [SettingsError] if the file can't be
// read or parsed, or with all problems if the settings are invalid.
func (f *SettingsFile) Read() (Settings, error) {
	content, err := os.ReadFile(f.Path)
	if err != nil {
		return Settings{}, &SettingsError{
			Path:  f.Path,
			Cause: err,
		}
	}
	f.content = content
	return parseSettings(f.Path, content)
}

// Watch calls apply with the new settings each time the content of the file differs from
// the last read, until the context ends. Settings that can't be read or are invalid are
// logged, and the settings that were applied before stay in force.
func (f *SettingsFile) Watch(ctx context.Context, apply func(Settings)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.ReloadSignal:
		case <-ticker.C:
		}
		before := f.content
		settings, err := f.Read()
		switch {
		case err != nil && f.checkRepeated(err, before):
		case err != nil:
			f.Log.Write(observe.SettingsInvalid, zap.Error(err))
		case !bytes.Equal(f.content, before):
			apply(settings)
		}
	}
}

// checkRepeated reports whether the same error was already logged for the same content. It
// also stores the error for the next call.
func (f *SettingsFile) checkRepeated(err error, before []byte) bool {
	isRepeated := f.loggedError == err.Error() && bytes.Equal(f.content, before)
	f.loggedError = err.Error()
	return isRepeated
}

// reload puts changed settings in force, except the host's identity. Other hosts and
// callers know the host by its name, region, zone and addresses, so these stay until it
// restarts.
func (h *host) reload(changed Settings) {
	needsRestart := changed.Identity != h.settings().Identity
	changed.Identity = h.settings().Identity
	h.applySettings(changed)
	h.setLogLevel(changed.LogLevel)
	h.log.Write(observe.SettingsApplied, zap.Bool("needs-restart", needsRestart))
}

// applySettings puts settings in force. It passes the limits among them to the rate limiter,
// the retry budget, the memory budget and the Go runtime, which keep their own copies.
func (h *host) applySettings(settings Settings) {
	h.currentSettings.Store(&settings)
	h.limiter.SetOvershoot(settings.OvershootFraction, settings.OvershootRequests)
	h.handler.RetryBudget.SetLimits(settings.RetryRatio, settings.RetrySlack)
	h.updateMemoryLimit()
	debug.SetMemoryLimit(settings.Machine.RuntimeMemoryLimit())
}

// setLogLevel sets the lowest level that is logged.
func (h *host) setLogLevel(text string) {
	level, err := zapcore.ParseLevel(text)
	if err != nil || h.logLevel == nil {
		// The text was checked when the settings were read. If h.logLevel is nil, the
		// level of the log can't be changed.
		return
	}
	h.logLevel.SetLevel(level)
}
