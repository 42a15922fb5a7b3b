package daemon

import (
	"fmt"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
	"trefoilline.example/trefoilline/ticket"
)

// setUpViolationReporting lets the components report invariant violations.
func (d *daemon) setUpViolationReporting() {
	d.pool.OnViolation = func(v backend.Violation) {
		d.reportViolation("backend-servers", fmt.Sprintf("%T %+v", v, v))
	}
	d.router.OnViolation = func(v steer.Violation) {
		d.reportViolation("steering", fmt.Sprintf("%T %+v", v, v))
	}
	d.requestClient.OnViolation = func(v exchange.Violation) {
		d.reportViolation("sent-once", v.RequestID)
	}
	d.ticketRegistry.OnViolation = func(v ticket.Violation) {
		d.reportViolation("run-once", v.TicketID)
	}
	d.snapshots.OnDuplicateVersion = func(v table.DuplicateVersion) {
		d.reportViolation("table-versions", fmt.Sprintf("%+v", v))
	}
	d.keys.keySet.OnViolation = func(v team.Violation) {
		d.reportViolation("withdrawn-keys", v.Hash.String())
	}
}

// reportViolation counts and logs an invariant violation.
func (d *daemon) reportViolation(invariant, detail string) {
	d.metrics.CountViolation()
	d.log.Write(observe.InvariantViolated, zap.String("invariant", invariant), zap.String("detail", detail))
}
