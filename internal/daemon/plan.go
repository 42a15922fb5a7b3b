package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/lease"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

const (
	// planKey is the object that holds the plan of weights.
	planKey = "plan/head"
	// planLeaseKey is the lease whose holder writes the plan.
	planLeaseKey = "lease/plan"
	// planPeriod is the time between two looks at the plan by its writer.
	planPeriod = 2 * time.Second
)

// noStepError ends a fenced write that has nothing to write.
type noStepError struct {
	verdict steer.StepResult
}

func (*noStepError) Error() string {
	return "the plan stands"
}

// planWriter writes the plan while this host holds the lease.
type planWriter struct {
	lease *lease.Lease
	fence *lease.Fence
}

func (d *daemon) newPlanWriter() planWriter {
	l := &lease.Lease{
		Store:  d.store,
		Key:    planLeaseKey,
		Holder: d.limits.ProcessID().String(),
	}
	return planWriter{
		lease: l,
		fence: &lease.Fence{
			Lease: l,
			Key:   planKey,
		},
	}
}

// writePlan takes its turn at the plan until the context ends, and then gives
// the lease up.
func (d *daemon) writePlan(ctx context.Context) {
	writer := d.newPlanWriter()
	for ctx.Err() == nil {
		if err := d.stepPlan(ctx, writer); err != nil {
			d.log.Write(observe.PlanSyncFailed, zap.Error(err))
		}
		pause(ctx, planPeriod)
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), planPeriod)
	defer cancel()
	// A lease that is not given up runs out on its own.
	_ = writer.lease.Release(release)
}

// stepPlan renews the lease and writes the next step, if there is one.
func (d *daemon) stepPlan(ctx context.Context, writer planWriter) error {
	snapshot := d.tables.Current()
	if snapshot == nil || d.leaving.Load() || !d.isPlanCandidate() {
		return nil
	}
	err := writer.lease.Renew(ctx)
	var held *lease.HeldError
	if errors.As(err, &held) {
		return nil
	}
	if err != nil {
		return err
	}
	d.sweepClaims(ctx)
	err = writer.fence.Write(ctx, func(last []byte) ([]byte, error) {
		return nextPlan(last, snapshot.Table, d.measurements(), time.Now())
	})
	var none *noStepError
	if errors.As(err, &none) {
		return nil
	}
	return err
}

func nextPlan(last []byte, current table.Table, m steer.Measurements, now time.Time) ([]byte, error) {
	var plan steer.Plan
	if len(last) > 0 {
		if err := json.Unmarshal(last, &plan); err != nil {
			return nil, err
		}
	}
	next, verdict := steer.NextPlan(plan, current, m, now)
	if _, stepped := verdict.(steer.PlanChanged); !stepped {
		return nil, &noStepError{
			verdict: verdict,
		}
	}
	return json.Marshal(next)
}

// followPlan puts each new plan in force until the context ends.
func (d *daemon) followPlan(ctx context.Context) {
	d.followFeed(ctx, planFeed, func(changes objectstore.Changes) error {
		for _, o := range changes.Objects {
			if err := d.takePlan(o); err != nil {
				d.log.Write(observe.PlanUnreadable, zap.Error(err))
			}
		}
		return nil
	})
}

func (d *daemon) takePlan(object objectstore.Object) error {
	body, err := lease.Body(object)
	if err != nil || len(body) == 0 {
		return err
	}
	var plan steer.Plan
	if err := json.Unmarshal(body, &plan); err != nil {
		return err
	}
	d.router.SetPlan(plan)
	d.plan.Store(&plan)
	d.log.Write(observe.PlanApplied, zap.Uint64("step", plan.Step), zap.Uint64("version", uint64(plan.TableVersion)))
	return nil
}

// report returns what this host tells the writer of the plan.
func (d *daemon) report() steer.Report {
	report := d.router.Report()
	report.Host = d.settings.Host
	snapshot := d.tables.Current()
	if snapshot == nil {
		return report
	}
	for _, p := range d.places(&snapshot.Table) {
		headroom := d.pool.Headroom(p.service, p.region)
		d.router.SetRegionLost(p.service, p.region, headroom.Lost)
		report.SlotUsage = append(report.SlotUsage, steer.SlotUsage{
			Service: p.service,
			Region:  p.region,
			Running: headroom.Running,
			Slots:   headroom.Slots,
		})
	}
	return report
}
