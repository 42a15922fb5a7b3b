package host

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/observe"
)

// reloadPeriod is how often the settings file is read again: it may change without
// a signal.
const reloadPeriod = 2 * time.Second

// SettingsFile is a settings file, which may change.
type SettingsFile struct {
	Path string
	// ReloadSignal has the file read at once; nil if nothing does.
	ReloadSignal <-chan os.Signal
	// Log is where faults of changes go.
	Log observe.Log

	// content is what was last read.
	content []byte
	// told is the fault that was last logged.
	told string
}

// Read returns the settings, or a [SettingsError] with all faults.
func (f *SettingsFile) Read() (Settings, error) {
	content, err := os.ReadFile(f.Path)
	if err != nil {
		return Settings{}, &SettingsError{
			Path:  f.Path,
			Cause: err,
		}
	}
	f.content = content
	return parse(f.Path, content)
}

// Watch tells each change of the file since it was read, until the context ends.
// Changes that can't be used are logged, and what was told before stands.
func (f *SettingsFile) Watch(ctx context.Context, changed func(Settings)) {
	ticker := time.NewTicker(reloadPeriod)
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
		case err != nil && f.isTold(err, before):
		case err != nil:
			f.Log.Write(observe.SettingsInvalid, zap.Error(err))
		case !bytes.Equal(f.content, before):
			changed(settings)
		}
	}
}

// isTold tells whether a fault was logged before: of content that did not change.
func (f *SettingsFile) isTold(err error, before []byte) bool {
	told := f.told == err.Error() && bytes.Equal(f.content, before)
	f.told = err.Error()
	return told
}

// adopt takes changed settings. The host's own name, place and addresses stay until
// it starts again: other hosts and callers know it by them.
func (h *host) adopt(changed Settings) {
	needsRestart := changed.Identity != h.settings().Identity
	changed.Identity = h.settings().Identity
	h.setBounds(changed)
	h.setLevel(changed.LogLevel)
	h.log.Write(observe.SettingsApplied, zap.Bool("needs-restart", needsRestart))
}

// setBounds puts settings in force, and the bounds among them where they are kept.
func (h *host) setBounds(settings Settings) {
	h.current.Store(&settings)
	h.book.SetOvershoot(settings.OvershootFraction, settings.OvershootRequests)
	h.handler.RetryBudget.SetLimits(settings.RetryRatio, settings.RetrySlack)
}

// setLevel sets from which level on events are logged.
func (h *host) setLevel(text string) {
	level, err := zapcore.ParseLevel(text)
	if err != nil || h.level == nil {
		// The settings were checked; without a level the log decides itself.
		return
	}
	h.level.SetLevel(level)
}
