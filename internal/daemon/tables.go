package daemon

import (
	"context"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// watchTable applies each new version of the table until the context ends.
func (d *daemon) watchTable(ctx context.Context) {
	d.watchFeed(ctx, tableFeed, func(changes objectstore.VersionedObjects) error {
		for _, o := range changes.Objects {
			if err := d.loadTable(ctx, o); err != nil {
				d.log.Write(observe.TableUnreadable, zap.Error(err))
				return err
			}
		}
		return nil
	})
}

// loadTable loads and applies the table version that the head object refers to, if it is
// newer than the current one.
func (d *daemon) loadTable(ctx context.Context, object objectstore.Object) error {
	head, err := table.DecodeHead(object.Value)
	if err != nil || head.Version <= d.snapshots.Version() {
		return err
	}
	snapshot, err := d.tableReader.LoadVersion(ctx, d.objectCache, head)
	if err != nil {
		return err
	}
	previous := d.snapshots.Version()
	if d.snapshots.Update(snapshot) {
		d.applyTable(previous, snapshot)
	}
	return nil
}

// applyTable passes a new version of the table to the components that use it.
func (d *daemon) applyTable(previous table.Version, snapshot *table.Snapshot) {
	current := &snapshot.Table
	d.router.SetTable(*current)
	d.refreshLimits()
	d.handler.SetTable(current)
	blocks := steer.NewClientBlocks(current.Blocks)
	d.clientBlocks.Store(&blocks)
	d.updateHostSelector()
	d.log.Write(observe.TableApplied, zap.Uint64("version", uint64(snapshot.Head.Version)), zap.Uint64("before", uint64(previous)))
}
