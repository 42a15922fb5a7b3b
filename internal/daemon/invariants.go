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

// wireInvariants lets the parts report broken invariants.
func (d *daemon) wireInvariants() {
	d.pool.OnViolation = func(v backend.Violation) {
		d.violated("backend-servers", fmt.Sprintf("%T %+v", v, v))
	}
	d.router.OnViolation = func(v steer.Violation) {
		d.violated("steering", fmt.Sprintf("%T %+v", v, v))
	}
	d.client.OnViolation = func(v exchange.Violation) {
		d.violated("sent-once", v.RequestID)
	}
	d.register.Violated = func(v ticket.Violation) {
		d.violated("run-once", v.Name)
	}
	d.tables.OnDuplicateVersion = func(v table.DuplicateVersion) {
		d.violated("table-versions", fmt.Sprintf("%+v", v))
	}
	d.keys.holder.OnViolation = func(v team.Violation) {
		d.violated("withdrawn-keys", v.Hash.String())
	}
}

// violated counts and logs a broken invariant.
func (d *daemon) violated(invariant, detail string) {
	d.measures.CountViolation()
	d.log.Write(observe.InvariantViolated, zap.String("invariant", invariant), zap.String("detail", detail))
}
