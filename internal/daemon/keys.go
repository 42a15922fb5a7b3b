package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/team"
)

// retryPause is the pause after a failed call.
const retryPause = 500 * time.Millisecond

// keys is this host's view of the teams' keys.
type keys struct {
	holder team.Holder

	mutex sync.Mutex
	// version is what the holder has of the fleet's feed.
	version   atomic.Uint64
	confirmed atomic.Bool
	// shown is whether look-ups were last told that the view is confirmed.
	shown atomic.Bool
}

// Verify returns the team of a key, or an [entry.KeysUnconfirmedError] while the
// view of the keys may not be acted on. It looks at the clock each time, so a
// process that was frozen learns of it here.
func (d *daemon) Verify(text string) (string, error) {
	err := d.node.CheckConfirmed(keysFeed.Prefix)
	age, _ := d.node.ConfirmationAge(keysFeed.Prefix)
	d.noteKeys(err == nil, age)
	if err != nil {
		return "", &entry.KeysUnconfirmedError{
			Age:   age,
			Cause: err,
		}
	}
	d.takeKeys()
	return d.keys.holder.View().Verify(text)
}

// takeKeys brings the view up to what the fleet has spread.
func (d *daemon) takeKeys() {
	version := uint64(d.node.FeedVersion(keysFeed.Prefix))
	if version <= d.keys.version.Load() {
		return
	}
	d.keys.mutex.Lock()
	defer d.keys.mutex.Unlock()
	changes := d.node.FeedChanges(keysFeed.Prefix, objectstore.Version(d.keys.version.Load()))
	d.keys.holder.Update(changes, time.Now())
	d.keys.version.Store(uint64(changes.Next))
	d.log.Write(observe.KeysApplied, zap.Uint64("version", uint64(changes.Next)), zap.Int("keys", d.keys.holder.View().Len()))
}

// noteKeys logs the change between a confirmed and an unconfirmed view.
func (d *daemon) noteKeys(confirmed bool, age time.Duration) {
	if d.keys.confirmed.Swap(confirmed) == confirmed {
		return
	}
	if confirmed {
		d.log.Write(observe.KeysConfirmed, zap.Duration("age", age))
		return
	}
	d.log.Write(observe.KeysUnconfirmed, zap.Duration("age", age))
}

// followConfirmation looks at the view of the keys, and reports whether it has
// become confirmed or unconfirmed since it was last looked at here.
func (d *daemon) followConfirmation() bool {
	confirmed := d.node.CheckConfirmed(keysFeed.Prefix) == nil
	age, _ := d.node.ConfirmationAge(keysFeed.Prefix)
	d.noteKeys(confirmed, age)
	return d.keys.shown.Swap(confirmed) != confirmed
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
