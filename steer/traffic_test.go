package steer_test

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// usualLoad is the part of a service's slots in use before any fault.
const usualLoad = 0.12

const (
	// slotWait is how long a request waits for a slot, and slotRetry how often
	// it tries.
	slotWait  = time.Second
	slotRetry = 20 * time.Millisecond
)

// tick is a second of the control loops: faults, probes, reports, the plan.
func (f *fleet) tick() {
	f.after(tick, f.tick)
	f.fault()
	measured := f.faults.stopped == 0 || f.age() < f.faults.stopped || f.age() >= f.faults.back
	for i, e := range f.entries {
		if measured {
			f.after(f.faults.lag, func() { f.probe(e, f.now.Add(-f.faults.lag)) })
			report := f.measure(e)
			f.after(f.faults.lag, func() { f.entries[i].report = report })
		}
		for _, s := range f.user.services {
			for _, region := range f.user.regions {
				e.router.SetRegionLost(s.name, region, e.pool.SlotUsage(s.name, region).RegionLost)
			}
		}
	}
	f.step()
}

// fault makes the servers' and hosts' faults happen.
func (f *fleet) fault() {
	if f.age() == f.faults.replaced && f.faults.replaced > 0 {
		f.entries[3] = f.newEntry("entry-7", f.entries[3].region)
		f.entries[3].router.SetPlan(f.plan)
	}
	if f.faults.returned > 0 && f.age() == f.faults.returned {
		f.rehome()
	}
	for _, s := range f.servers {
		if s.machine.Region == f.user.regions[0] && f.faults.lost > 0 {
			s.dead = f.age() >= f.faults.lost && (f.faults.returned == 0 || f.age() < f.faults.returned)
		}
	}
	if f.faults.leaving == 0 || f.age() != f.faults.leaving {
		return
	}
	for _, s := range f.user.services {
		for i := range 3 {
			f.servers[fmt.Sprintf("%s-%02d", s.name, i)].leavingSince = f.now
		}
	}
}

func (f *fleet) probe(e *entry, taken time.Time) {
	for _, s := range f.servers {
		e.pool.RecordProbe(backend.Probe{
			Server:   s.machine.Name,
			SentAt:   taken,
			Failed:   s.dead,
			Draining: !s.leavingSince.IsZero() && s.leavingSince.Before(taken),
			Running:  s.running,
		})
	}
}

func (f *fleet) measure(e *entry) steer.Report {
	report := e.router.Report()
	report.Host = e.name
	for _, s := range f.user.services {
		for _, region := range f.user.regions {
			h := e.pool.SlotUsage(s.name, region)
			report.SlotUsages = append(report.SlotUsages, steer.SlotUsage{
				Service: s.name,
				Region:  region,
				Running: h.Running,
				Slots:   h.Slots,
			})
		}
	}
	if f.faults.wrong {
		for i := range report.Routes {
			report.Routes[i].Rate /= 10
		}
		for i := range report.SlotUsages {
			report.SlotUsages[i].Running /= 10
		}
	}
	return report
}

// step is the lease holder's turn.
func (f *fleet) step() {
	var m steer.Measurements
	for _, e := range f.entries {
		m.Hosts = append(m.Hosts, e.name)
		m.Reports = append(m.Reports, e.report)
	}
	next, verdict := steer.NextPlan(f.plan, f.table, m, f.now)
	if f.faults.noPlan {
		next, verdict = f.atOnce()
	}
	switch verdict.(type) {
	case steer.PlanChanged:
	case steer.TargetReached:
		f.reached = f.faults.drained > 0 && f.age() > f.faults.drained+2*tick
		return
	default:
		return
	}
	f.plan = next
	f.steps++
	for i, e := range f.entries {
		delay := 100 * time.Millisecond
		if i == 0 {
			delay += f.faults.late
		}
		f.after(delay, func() { e.router.SetPlan(next) })
	}
}

// atOnce is the baseline: the table's weights without steps.
func (f *fleet) atOnce() (steer.Plan, steer.StepResult) {
	plan := steer.Plan{
		Step: f.plan.Step + 1,
	}
	for _, route := range f.table.Routes {
		w := steer.TableWeights(route, f.table.Drains, f.now)
		if f.faults.lost > 0 && f.age() > f.faults.lost {
			w = w.Without(f.user.regions[0])
		}
		plan.Routes = append(plan.Routes, steer.RoutePlan{
			Route:        route.Name,
			Service:      route.Service,
			TableWeights: w,
			Settled:      w,
			Effective:    w,
		})
	}
	return plan, steer.PlanChanged{}
}

// rate returns the requests per second of a service.
func (f *fleet) rate(name string) float64 {
	for _, s := range f.user.services {
		if s.name == name {
			return usualLoad * float64(4*s.servers) / warmService.Seconds()
		}
	}
	return 0
}

// arrive offers one request of the route and schedules the next.
func (f *fleet) arrive(route table.Route) {
	rate := f.rate(route.Service)
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() { f.arrive(route) })
	number := f.random.IntN(points)
	q := request(route, number)
	host := number % len(f.entries)
	if f.random.IntN(20) == 0 {
		host = f.random.IntN(len(f.entries))
	}
	f.sent[q.Team]++
	f.handle(f.entries[host], q)
}

// request returns a request of the numbered point.
func request(route table.Route, number int) steer.Request {
	return steer.Request{
		Route: route.Name,
		Team:  teamOf(number),
		Hash:  steer.RequestHash(uint64(number+1) * 0x9e3779b97f4a7c15),
	}
}

func originOf(e *entry, q steer.Request) origin {
	return origin{
		region: e.region,
		route:  q.Route,
		point:  q.Hash,
	}
}

// teamOf gives the points to eight teams, two of them large.
func teamOf(number int) string {
	if number%2 == 0 {
		return fmt.Sprintf("large-%d", number/2%2)
	}
	return fmt.Sprintf("small-%d", number/2%6)
}

func (f *fleet) handle(e *entry, q steer.Request) {
	d, err := e.router.Decide(q)
	if err != nil {
		f.refuse(err)
		return
	}
	if d.CrossesRegions {
		f.crossed++
	}
	f.send(e, q, d, f.now.Add(slotWait))
}

// send sends the request to a server, once there is a slot.
func (f *fleet) send(e *entry, q steer.Request, d steer.Decision, until time.Time) {
	r, err := e.pool.Reserve(d.Service, d.Region)
	var busy *backend.NoFreeSlotError
	if errors.As(err, &busy) && f.now.Before(until) {
		f.after(slotRetry, func() { f.send(e, q, d, until) })
		return
	}
	if err != nil {
		f.tell(e, q, d, err)
		f.refuse(err)
		return
	}
	f.count(e, q, d)
	arrived := until.Add(-slotWait)
	delay := zoneDelay
	if d.Region != e.region {
		delay = linkDelay
	}
	f.after(delay, func() { f.serve(e, q, r, arrived, delay) })
}

// tell tells the router what the pool said.
func (f *fleet) tell(e *entry, q steer.Request, d steer.Decision, err error) {
	var lost *backend.RegionLostError
	if errors.As(err, &lost) {
		e.router.SetRegionLost(d.Service, d.Region, true)
	}
	var busy *backend.NoFreeSlotError
	if errors.As(err, &busy) {
		e.router.RecordNoFreeSlot(q, d)
	}
}

func (f *fleet) refuse(err error) {
	f.refused[strings.TrimPrefix(fmt.Sprintf("%T", err), "*")]++
	var lost *steer.RegionLostError
	if errors.As(err, &lost) {
		f.lastRefused = f.age()
	}
}

// count is the oracle: it counts the moves and the running requests, and knows
// nothing of plans and tokens.
func (f *fleet) count(e *entry, q steer.Request, d steer.Decision) {
	name := backend.SlotLimitName(d.Service, d.Region)
	f.running[name]++
	if f.running[name] > f.capacity[name] {
		f.overSlots++
	}
	if d.Region == f.user.regions[0] {
		f.lastSent = f.age()
	}
	key := originOf(e, q)
	f.places[key] = d.Region
	if home := f.homes[key]; home != d.Region {
		f.meters[steer.ShiftLimitName(home, d.Region)].count(f.now)
	}
}

// rehome takes the last places of all points as their homes, so that the way
// back counts as moves.
func (f *fleet) rehome() {
	maps.Copy(f.homes, f.places)
}

func (f *fleet) serve(e *entry, q steer.Request, r *backend.Reservation, arrived time.Time, delay time.Duration) {
	s := f.servers[r.Server]
	outcome := backend.Outcome(backend.Responded{})
	service := time.Duration((0.5 + f.random.Float64()) * float64(warmService))
	cached := cache{
		origin: originOf(e, q),
		region: r.Region,
	}
	if !f.warm[cached] && f.homes[cached.origin] != r.Region {
		service *= coldFactor
	}
	switch {
	case s.dead:
		outcome = backend.Failed{}
		service = 0
	case !s.leavingSince.IsZero():
		outcome = f.serveLeaving(s)
	}
	f.after(service, func() {
		f.warm[cached] = true
		f.after(delay, func() { f.finish(e, q, r, arrived, outcome) })
	})
}

// serveLeaving is a leaving server's answer: it sheds what comes.
func (f *fleet) serveLeaving(s *fakeServer) backend.Outcome {
	late := f.now.Sub(s.leavingSince) > backend.DrainGracePeriod
	if late {
		f.sentLate++
	}
	if !f.faults.noShed {
		return backend.Rejected{
			Draining: true,
		}
	}
	if late {
		f.toLeaving++
	}
	return backend.Responded{}
}

func (f *fleet) finish(e *entry, q steer.Request, r *backend.Reservation, arrived time.Time, outcome backend.Outcome) {
	f.running[backend.SlotLimitName(r.Service, r.Region)]--
	e.pool.Release(r, outcome)
	if _, answered := outcome.(backend.Responded); !answered {
		f.refused[strings.TrimPrefix(fmt.Sprintf("%T", outcome), "*")]++
		return
	}
	f.answered[q.Team]++
	f.latencies = append(f.latencies, f.now.Sub(arrived))
}

// servedParts returns the parts of their requests that the worst-served small
// team, the worst-served large team and all teams got answered.
func (f *fleet) servedParts() (small, large, all float64) {
	small, large = 1, 1
	sent, answered := 0, 0
	for team, n := range f.sent {
		part := float64(f.answered[team]) / float64(n)
		if strings.HasPrefix(team, "small") {
			small = min(small, part)
		} else {
			large = min(large, part)
		}
		sent += n
		answered += f.answered[team]
	}
	return small, large, float64(answered) / float64(sent)
}
