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
	// planKey is the store's key of the plan, which holds the weights of the routes.
	planKey = "plan/head"
	// planLeaseKey is the store's key of the lease whose holder writes the plan.
	planLeaseKey = "lease/plan"
	// planInterval is the time between two attempts of a host to update the plan.
	planInterval = 2 * time.Second
)

// planUnchangedError cancels a write of the plan because the plan has not changed. Its
// result is the reason.
type planUnchangedError struct {
	result steer.StepResult
}

func (*planUnchangedError) Error() string {
	return "the plan is unchanged"
}

// planWriter writes the plan. The fence stores the lease's epoch with the plan, as a
// fencing token: it rejects the writes of an earlier holder of the lease.
type planWriter struct {
	lease *lease.Lease
	fence *lease.Fence
}

func (d *daemon) newPlanWriter() planWriter {
	l := &lease.Lease{
		Store:  d.store,
		Key:    planLeaseKey,
		Holder: d.limiter.ProcessID().String(),
	}
	return planWriter{
		lease: l,
		fence: &lease.Fence{
			Lease: l,
			Key:   planKey,
		},
	}
}

// runPlanWriter updates the plan whenever this host holds the lease, until the context
// ends, and then releases the lease.
func (d *daemon) runPlanWriter(ctx context.Context) {
	writer := d.newPlanWriter()
	for ctx.Err() == nil {
		if err := d.updatePlan(ctx, writer); err != nil {
			d.log.Write(observe.PlanSyncFailed, zap.Error(err))
		}
		sleep(ctx, planInterval)
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), planInterval)
	defer cancel()
	// A lease that is not released expires.
	_ = writer.lease.Release(release)
}

// updatePlan acquires or renews the lease, deletes old idempotency keys, and writes the
// next plan if it differs from the stored one. It does nothing if this host may not write
// the plan or another host holds the lease.
func (d *daemon) updatePlan(ctx context.Context, writer planWriter) error {
	snapshot := d.snapshots.Current()
	if snapshot == nil || d.draining.Load() || !d.isPlanCandidate() {
		return nil
	}
	err := writer.lease.AcquireOrRenew(ctx)
	var heldByOther *lease.HeldByOtherError
	if errors.As(err, &heldByOther) {
		return nil
	}
	if err != nil {
		return err
	}
	d.removeOldIdempotencyKeys(ctx)
	err = writer.fence.Write(ctx, func(stored []byte) ([]byte, error) {
		return nextPlan(stored, snapshot.Table, d.measurements(), time.Now())
	})
	var unchanged *planUnchangedError
	if errors.As(err, &unchanged) {
		return nil
	}
	return err
}

// nextPlan returns the encoded plan that follows the stored one, or a
// planUnchangedError.
func nextPlan(stored []byte, current table.Table, m steer.Measurements, now time.Time) ([]byte, error) {
	var plan steer.Plan
	if len(stored) > 0 {
		if err := json.Unmarshal(stored, &plan); err != nil {
			return nil, err
		}
	}
	next, result := steer.NextPlan(plan, current, m, now)
	if _, changed := result.(steer.PlanChanged); !changed {
		return nil, &planUnchangedError{
			result: result,
		}
	}
	return json.Marshal(next)
}

// watchPlan applies each new plan until the context ends.
func (d *daemon) watchPlan(ctx context.Context) {
	d.watchFeed(ctx, planFeed, func(changes objectstore.VersionedObjects) error {
		for _, o := range changes.Objects {
			if err := d.applyPlan(o); err != nil {
				d.log.Write(observe.PlanUnreadable, zap.Error(err))
			}
		}
		return nil
	})
}

// applyPlan decodes a plan from the store and passes it to the router.
func (d *daemon) applyPlan(object objectstore.Object) error {
	body, err := lease.DecodeBody(object)
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

// collectReport returns the measurements of this host for the writer of the plan. While
// it reads the slots of each service in each region, it also sets in the router whether
// the region is lost to the service, which means that requests to its backend servers
// there fail.
func (d *daemon) collectReport() steer.Report {
	report := d.router.Report()
	report.Host = d.settings.Host
	snapshot := d.snapshots.Current()
	if snapshot == nil {
		return report
	}
	for _, p := range d.serviceRegions(&snapshot.Table) {
		usage := d.pool.SlotUsage(p.service, p.region)
		d.router.SetRegionLost(p.service, p.region, usage.RegionLost)
		report.SlotUsages = append(report.SlotUsages, steer.SlotUsage{
			Service: p.service,
			Region:  p.region,
			Running: usage.Running,
			Slots:   usage.Slots,
		})
	}
	return report
}
