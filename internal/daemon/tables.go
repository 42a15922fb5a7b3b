package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// tableWait is how long a watch of the table's head waits.
const tableWait = 10 * time.Second

// followTable takes each new version of the table until the context ends.
func (d *daemon) followTable(ctx context.Context) {
	var after platform.Version
	for ctx.Err() == nil {
		changes, err := d.store.Watch(ctx, table.HeadKey, after, tableWait)
		if err == nil && len(changes.Objects) > 0 {
			err = d.loadTable(ctx)
		}
		if err != nil {
			d.log.Write(observe.TableUnreadable, zap.Error(err))
			pause(ctx, retryPause)
			continue
		}
		after = changes.Next
	}
}

// loadTable takes the version that the store has in force, if it is newer.
func (d *daemon) loadTable(ctx context.Context) error {
	snapshot, err := d.reader.Load(ctx, d.store)
	var none *table.NoTableError
	if errors.As(err, &none) {
		return nil
	}
	if err != nil {
		return err
	}
	before := d.tables.Version()
	if d.tables.Offer(snapshot) {
		d.applyTable(before, snapshot)
	}
	return nil
}

// applyTable lets every part work by the new version.
func (d *daemon) applyTable(before table.Version, snapshot *table.Snapshot) {
	current := &snapshot.Table
	d.limits.SetLimits(limitsOf(current))
	d.handler.SetTable(current)
	blocks := steer.NewBlocks(current.Blocks)
	d.blocks.Store(&blocks)
	d.refreshLookup()
	d.log.Write(observe.TableInForce, zap.Uint64("version", uint64(snapshot.Head.Version)), zap.Uint64("before", uint64(before)))
}

// limitsOf returns the fleet-wide limits that the table sets.
func limitsOf(current *table.Table) []share.Limit {
	limits := make([]share.Limit, 0, len(current.Teams))
	for _, t := range current.Teams {
		limits = append(limits, share.Limit{
			Name: entry.TeamLimit(t.Name),
			Kind: share.Rate{
				PerSecond: t.Rate,
				Burst:     t.Burst,
			},
		})
	}
	return limits
}
