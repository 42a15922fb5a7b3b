package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

const (
	// claimLife is how long a key that a caller chose names its request.
	claimLife = 24 * time.Hour
	// sweepPeriod is the time between two sweeps of one host.
	sweepPeriod = time.Hour
)

// sweepClaims removes old claims. Only the host that holds the lease of the plan
// calls it, so that one host at a time lists them.
func (d *daemon) sweepClaims(ctx context.Context) {
	if time.Since(d.swept) < sweepPeriod {
		return
	}
	d.swept = time.Now()
	removed, err := d.claims.Sweep(ctx, claimLife)
	if removed > 0 || err != nil {
		d.log.Write(observe.OldClaimsRemoved, zap.Int("removed", removed), zap.Error(err))
	}
}
