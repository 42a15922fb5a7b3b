package daemon

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges sets the gauges of the metrics every gaugeInterval until the context
// ends.
func (d *daemon) updateGauges(ctx context.Context) {
	for ctx.Err() == nil {
		d.setStoreCallGauges(d.rateLimitedStore.Sent(), d.rateLimitedStore.Refused())
		d.metrics.SetGauge("requests/running", int64(d.handler.RunningRequests()))
		if plan := d.plan.Load(); plan != nil {
			d.metrics.SetGauge("plan/step", int64(plan.Step))
		}
		if snapshot := d.snapshots.Current(); snapshot != nil {
			d.metrics.SetGauge("table/version", int64(snapshot.Head.Version))
			d.setSlotGauges(&snapshot.Table)
		}
		sleep(ctx, gaugeInterval)
	}
}

// setStoreCallGauges copies the numbers of calls to the store since the start into
// gauges. They are counted by the rate-limited store. The calls over budget are those
// that it did not send, because of its own rate limit.
func (d *daemon) setStoreCallGauges(sent, rateLimited objectstore.CallCounts) {
	d.metrics.SetGauge("store-calls/reads", int64(sent.Reads()))
	d.metrics.SetGauge("store-calls/writes", int64(sent.Writes()))
	d.metrics.SetGauge("store-calls/over-budget", int64(rateLimited.Reads()+rateLimited.Writes()))
}

// setSlotGauges sets the gauges of the running requests and the slots of each service
// in each region, as this host sees them.
func (d *daemon) setSlotGauges(current *table.Table) {
	for _, p := range d.serviceRegions(current) {
		usage := d.pool.SlotUsage(p.service, p.region)
		name := p.service + "/" + p.region
		d.metrics.SetGauge("headroom/running/"+name, int64(usage.Running))
		d.metrics.SetGauge("headroom/slots/"+name, int64(usage.Slots))
	}
}
