package daemon

import (
	"context"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// followTable takes each new version of the table until the context ends.
func (d *daemon) followTable(ctx context.Context) {
	d.followFeed(ctx, tableFeed, func(changes objectstore.Changes) error {
		for _, o := range changes.Objects {
			if err := d.loadTable(ctx, o); err != nil {
				d.log.Write(observe.TableUnreadable, zap.Error(err))
				return err
			}
		}
		return nil
	})
}

// loadTable takes the version that a head names, if it is newer.
func (d *daemon) loadTable(ctx context.Context, object objectstore.Object) error {
	head, err := table.ParseHead(object.Value)
	if err != nil || head.Version <= d.tables.Version() {
		return err
	}
	snapshot, err := d.reader.LoadHead(ctx, d.objects, head)
	if err != nil {
		return err
	}
	before := d.tables.Version()
	if d.tables.Update(snapshot) {
		d.applyTable(before, snapshot)
	}
	return nil
}

// applyTable lets every part work by the new version.
func (d *daemon) applyTable(before table.Version, snapshot *table.Snapshot) {
	current := &snapshot.Table
	d.router.SetTable(*current)
	d.refreshLimits()
	d.handler.SetTable(current)
	blocks := steer.NewClientBlocks(current.Blocks)
	d.blocks.Store(&blocks)
	d.refreshLookup()
	d.log.Write(observe.TableApplied, zap.Uint64("version", uint64(snapshot.Head.Version)), zap.Uint64("before", uint64(before)))
}
