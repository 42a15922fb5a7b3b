package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/streamproxy"
)

// retryDelay is the delay after changes of a feed could not be applied.
const retryDelay = 500 * time.Millisecond

// keyState is this host's copy of the teams' API keys, made from its view of the keys
// feed. The copy is confirmed while the
// host knows that it was current at most MaxKeysAge ago; see [fleet.Node.CheckConfirmed].
type keyState struct {
	keySet apikey.KeySet

	// mutex serializes the updates of the key set.
	mutex sync.Mutex
	// version is the version of the keys feed up to which the key set is updated.
	version atomic.Uint64
	// lastLoggedConfirmed is whether the last log line about the confirmation said that
	// the copy was confirmed.
	lastLoggedConfirmed atomic.Bool
	// selectorBuiltConfirmed is whether the copy was confirmed when the host selector was
	// last rebuilt because of it.
	selectorBuiltConfirmed atomic.Bool
}

// Verify returns the team of an API key. It returns an [streamproxy.KeysUnconfirmedError] while
// the copy of the keys is not confirmed, and the error of [apikey.View.Verify] if the
// key is not valid. It reads the clock on each call, so that a process that was paused
// does not use an outdated copy.
func (d *daemon) Verify(text string) (string, error) {
	err := d.fleetNode.CheckConfirmed(keysFeed.Prefix)
	age, _ := d.fleetNode.ConfirmationAge(keysFeed.Prefix)
	d.logConfirmationChange(err == nil, age)
	if err != nil {
		return "", &streamproxy.KeysUnconfirmedError{
			Age:   age,
			Cause: err,
		}
	}
	d.applyKeyChanges()
	return d.keys.keySet.View().Verify(text)
}

// applyKeyChanges updates the key set with the changes of the keys feed that this host
// has received.
func (d *daemon) applyKeyChanges() {
	version := uint64(d.fleetNode.FeedVersion(keysFeed.Prefix))
	if version <= d.keys.version.Load() {
		return
	}
	d.keys.mutex.Lock()
	defer d.keys.mutex.Unlock()
	changes := d.fleetNode.FeedChanges(keysFeed.Prefix, objectstore.Version(d.keys.version.Load()))
	d.keys.keySet.ApplyChanges(changes, time.Now())
	d.keys.version.Store(uint64(changes.Next))
	d.log.Write(observe.KeysApplied, zap.Uint64("version", uint64(changes.Next)), zap.Int("keys", d.keys.keySet.View().Len()))
}

// logConfirmationChange writes a log line when the copy of the keys becomes confirmed
// or unconfirmed.
func (d *daemon) logConfirmationChange(confirmed bool, age time.Duration) {
	if d.keys.lastLoggedConfirmed.Swap(confirmed) == confirmed {
		return
	}
	if confirmed {
		d.log.Write(observe.KeysConfirmed, zap.Duration("age", age))
		return
	}
	d.log.Write(observe.KeysUnconfirmed, zap.Duration("age", age))
}

// swapKeysConfirmed records whether the copy of the keys is confirmed, logs a change,
// and reports whether it has changed since the last call.
func (d *daemon) swapKeysConfirmed() bool {
	confirmed := d.fleetNode.CheckConfirmed(keysFeed.Prefix) == nil
	age, _ := d.fleetNode.ConfirmationAge(keysFeed.Prefix)
	d.logConfirmationChange(confirmed, age)
	return d.keys.selectorBuiltConfirmed.Swap(confirmed) != confirmed
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
