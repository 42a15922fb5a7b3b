package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/team"
)

const (
	// keysWait is how long a watch of the keys waits. An answer confirms the
	// view as of the time when the watch was sent, so a short wait keeps the
	// view young.
	keysWait = time.Second
	// retryPause is the pause after a failed call to the store.
	retryPause = 500 * time.Millisecond
)

// Verify returns the team of a key, or a [entry.KeysUnconfirmedError] if the view
// of the keys is older than the bound.
func (d *daemon) Verify(text string) (string, error) {
	view := d.keys.View()
	age := view.Age(time.Now())
	if age > d.settings.KeysBound {
		d.noteKeys(false, age)
		return "", &entry.KeysUnconfirmedError{
			Age: age,
		}
	}
	d.noteKeys(true, age)
	return view.Verify(text)
}

// noteKeys logs the change between a confirmed and an unconfirmed view.
func (d *daemon) noteKeys(confirmed bool, age time.Duration) {
	if d.keysOK.Swap(confirmed) == confirmed {
		return
	}
	if confirmed {
		d.log.Write(observe.KeysConfirmed, zap.Duration("age", age))
		return
	}
	d.log.Write(observe.KeysUnconfirmed, zap.Duration("age", age))
}

// followKeys keeps the view of the keys young until the context ends.
func (d *daemon) followKeys(ctx context.Context) {
	var after platform.Version
	for ctx.Err() == nil {
		sent := time.Now()
		changes, err := d.store.Watch(ctx, team.Prefix, after, keysWait)
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		after = changes.Next
		d.keys.Update(changes, sent)
		if len(changes.Objects) > 0 {
			view := d.keys.View()
			d.log.Write(observe.KeysInForce, zap.Uint64("version", uint64(view.Version)), zap.Int("keys", view.Len()))
		}
	}
}

// pause waits, or returns early when the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
