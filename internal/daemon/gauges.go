package daemon

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// gaugePeriod is the time between two readings of the gauges.
const gaugePeriod = time.Second

// readGauges keeps the gauges of the measures up to date until the context ends.
func (d *daemon) readGauges(ctx context.Context) {
	for ctx.Err() == nil {
		d.gaugeCalls(d.budget.Sent(), d.budget.Refused())
		d.measures.SetGauge("requests/running", int64(d.handler.Running()))
		if plan := d.plan.Load(); plan != nil {
			d.measures.SetGauge("plan/step", int64(plan.Step))
		}
		if snapshot := d.tables.Current(); snapshot != nil {
			d.measures.SetGauge("table/version", int64(snapshot.Head.Version))
			d.gaugeHeadroom(&snapshot.Table)
		}
		pause(ctx, gaugePeriod)
	}
}

// gaugeCalls shows the calls to the store since the start.
func (d *daemon) gaugeCalls(sent, refused objectstore.CallCounts) {
	d.measures.SetGauge("store-calls/reads", int64(sent.Reads()))
	d.measures.SetGauge("store-calls/writes", int64(sent.Writes()))
	d.measures.SetGauge("store-calls/over-budget", int64(refused.Reads()+refused.Writes()))
}

// gaugeHeadroom shows the use and the slots of each service in each region, as
// this host sees them.
func (d *daemon) gaugeHeadroom(current *table.Table) {
	for _, p := range d.places(current) {
		headroom := d.pool.Headroom(p.service, p.region)
		name := p.service + "/" + p.region
		d.measures.SetGauge("headroom/running/"+name, int64(headroom.Running))
		d.measures.SetGauge("headroom/slots/"+name, int64(headroom.Slots))
	}
}
