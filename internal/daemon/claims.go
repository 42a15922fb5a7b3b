package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

const (
	// idempotencyKeyRetention is the minimum time for which the idempotency key of a
	// request is stored.
	idempotencyKeyRetention = 24 * time.Hour
	// idempotencyKeyCleanupInterval is the minimum time between two cleanups by the same
	// host.
	idempotencyKeyCleanupInterval = time.Hour
)

// removeOldIdempotencyKeys deletes the claims that are older than
// idempotencyKeyRetention. A claim is the object under which the store keeps an
// idempotency key. Only the host that holds the lease of the plan calls it, so that one
// host at a time lists the claims.
func (d *daemon) removeOldIdempotencyKeys(ctx context.Context) {
	if time.Since(d.lastCleanup) < idempotencyKeyCleanupInterval {
		return
	}
	d.lastCleanup = time.Now()
	removed, err := d.idempotencyKeys.DeleteClaimsOlderThan(ctx, idempotencyKeyRetention)
	if removed > 0 || err != nil {
		d.log.Write(observe.OldClaimsRemoved, zap.Int("removed", removed), zap.Error(err))
	}
}
