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

// normalSlotUse is the share of a service's slots in use before any fault.
const normalSlotUse = 0.12

const (
	// slotWait is how long a request waits for a slot, and slotRetryInterval
	// is the time between two tries.
	slotWait          = time.Second
	slotRetryInterval = 20 * time.Millisecond
)

// runControlLoops runs the control loops once: faults, probes, reports and
// the plan.
func (f *fleet) runControlLoops() {
	f.schedule(controlInterval, f.runControlLoops)
	f.applyFaults()
	measured := f.faults.measurementsStop == 0 || f.elapsed() < f.faults.measurementsStop || f.elapsed() >= f.faults.measurementsResume
	for i, e := range f.entryHosts {
		if measured {
			f.schedule(f.faults.reportDelay, func() { f.probeServers(e, f.now.Add(-f.faults.reportDelay)) })
			report := f.measureReport(e)
			f.schedule(f.faults.reportDelay, func() { f.entryHosts[i].report = report })
		}
		for _, s := range f.deployment.services {
			for _, region := range f.deployment.regions {
				e.router.SetRegionLost(s.name, region, e.pool.SlotUsage(s.name, region).RegionLost)
			}
		}
	}
	f.advancePlan()
}

// applyFaults starts and ends the faults that are due.
func (f *fleet) applyFaults() {
	if f.elapsed() == f.faults.hostReplaced && f.faults.hostReplaced > 0 {
		f.entryHosts[3] = f.newEntryHost("entry-7", f.entryHosts[3].region)
		f.entryHosts[3].router.SetPlan(f.plan)
	}
	if f.faults.regionReturned > 0 && f.elapsed() == f.faults.regionReturned {
		f.resetOriginalRegions()
	}
	for _, s := range f.servers {
		if s.machine.Region == f.deployment.regions[0] && f.faults.regionLost > 0 {
			s.failed = f.elapsed() >= f.faults.regionLost && (f.faults.regionReturned == 0 || f.elapsed() < f.faults.regionReturned)
		}
	}
	if f.faults.serversDrain == 0 || f.elapsed() != f.faults.serversDrain {
		return
	}
	for _, s := range f.deployment.services {
		for i := range 3 {
			f.servers[fmt.Sprintf("%s-%02d", s.name, i)].drainingSince = f.now
		}
	}
}

func (f *fleet) probeServers(e *entryHost, measuredAt time.Time) {
	for _, s := range f.servers {
		e.pool.RecordProbe(backend.Probe{
			Server:   s.machine.Name,
			SentAt:   measuredAt,
			Failed:   s.failed,
			Draining: !s.drainingSince.IsZero() && s.drainingSince.Before(measuredAt),
			Running:  s.running,
		})
	}
}

func (f *fleet) measureReport(e *entryHost) steer.Report {
	report := e.router.Report()
	report.Host = e.name
	for _, s := range f.deployment.services {
		for _, region := range f.deployment.regions {
			h := e.pool.SlotUsage(s.name, region)
			report.SlotUsages = append(report.SlotUsages, steer.SlotUsage{
				Service: s.name,
				Region:  region,
				Running: h.Running,
				Slots:   h.Slots,
			})
		}
	}
	if f.faults.understatedRates {
		for i := range report.Routes {
			report.Routes[i].Rate /= 10
		}
		for i := range report.SlotUsages {
			report.SlotUsages[i].Running /= 10
		}
	}
	return report
}

// advancePlan takes the next step of the plan, as the holder of the lease
// does, and sends the plan to the hosts.
func (f *fleet) advancePlan() {
	var m steer.Measurements
	for _, e := range f.entryHosts {
		m.Hosts = append(m.Hosts, e.name)
		m.Reports = append(m.Reports, e.report)
	}
	next, result := steer.NextPlan(f.plan, f.table, m, f.now)
	if f.faults.noSteps {
		next, result = f.planWithoutSteps()
	}
	switch result.(type) {
	case steer.PlanChanged:
	case steer.TargetReached:
		f.drainDone = f.faults.regionDrained > 0 && f.elapsed() > f.faults.regionDrained+2*controlInterval
		return
	default:
		return
	}
	f.plan = next
	f.steps++
	for i, e := range f.entryHosts {
		delay := 100 * time.Millisecond
		if i == 0 {
			delay += f.faults.planDelay
		}
		f.schedule(delay, func() { e.router.SetPlan(next) })
	}
}

// planWithoutSteps returns a plan that puts the final weights in force in one
// step, for control runs.
func (f *fleet) planWithoutSteps() (steer.Plan, steer.StepResult) {
	plan := steer.Plan{
		Step: f.plan.Step + 1,
	}
	for _, route := range f.table.Routes {
		w := steer.TableWeights(route, f.table.Drains, f.now)
		if f.faults.regionLost > 0 && f.elapsed() > f.faults.regionLost {
			w = w.Without(f.deployment.regions[0])
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

// requestRate returns the requests per second of a service.
func (f *fleet) requestRate(name string) float64 {
	for _, s := range f.deployment.services {
		if s.name == name {
			return normalSlotUse * float64(4*s.serverCount) / warmServiceTime.Seconds()
		}
	}
	return 0
}

// handleArrival sends one request of the route to an entry host and schedules
// the next one. A request hash has a usual host; one request in 20 goes to a
// random host.
func (f *fleet) handleArrival(route table.Route) {
	rate := f.requestRate(route.Service)
	f.schedule(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() { f.handleArrival(route) })
	number := f.random.IntN(requestHashCount)
	q := newRequest(route, number)
	host := number % len(f.entryHosts)
	if f.random.IntN(20) == 0 {
		host = f.random.IntN(len(f.entryHosts))
	}
	f.sent[q.Team]++
	f.handleRequest(f.entryHosts[host], q)
}

// newRequest returns a request with the hash of that number.
func newRequest(route table.Route, number int) steer.Request {
	return steer.Request{
		Route: route.Name,
		Team:  teamOf(number),
		Hash:  steer.RequestHash(uint64(number+1) * 0x9e3779b97f4a7c15),
	}
}

func trafficKeyOf(e *entryHost, q steer.Request) trafficKey {
	return trafficKey{
		region: e.region,
		route:  q.Route,
		hash:   q.Hash,
	}
}

// teamOf assigns the request hashes to eight teams, two of them large.
func teamOf(number int) string {
	if number%2 == 0 {
		return fmt.Sprintf("large-%d", number/2%2)
	}
	return fmt.Sprintf("small-%d", number/2%6)
}

func (f *fleet) handleRequest(e *entryHost, q steer.Request) {
	d, err := e.router.Decide(q)
	if err != nil {
		f.countRejection(err)
		return
	}
	if d.CrossesRegions {
		f.crossedRegions++
	}
	f.sendRequest(e, q, d, f.now.Add(slotWait))
}

// sendRequest sends the request to a server, and waits for a slot until the
// given time.
func (f *fleet) sendRequest(e *entryHost, q steer.Request, d steer.Decision, until time.Time) {
	r, err := e.pool.Reserve(d.Service, d.Region)
	var busy *backend.NoFreeSlotError
	if errors.As(err, &busy) && f.now.Before(until) {
		f.schedule(slotRetryInterval, func() { f.sendRequest(e, q, d, until) })
		return
	}
	if err != nil {
		f.reportPoolError(e, q, d, err)
		f.countRejection(err)
		return
	}
	f.recordSent(e, q, d)
	arrived := until.Add(-slotWait)
	delay := localDelay
	if d.Region != e.region {
		delay = linkDelay
	}
	f.schedule(delay, func() { f.serveRequest(e, q, r, arrived, delay) })
}

// reportPoolError reports an error of the pool to the router.
func (f *fleet) reportPoolError(e *entryHost, q steer.Request, d steer.Decision, err error) {
	var lost *backend.RegionLostError
	if errors.As(err, &lost) {
		e.router.SetRegionLost(d.Service, d.Region, true)
	}
	var busy *backend.NoFreeSlotError
	if errors.As(err, &busy) {
		e.router.RecordNoFreeSlot(q, d)
	}
}

func (f *fleet) countRejection(err error) {
	f.rejected[strings.TrimPrefix(fmt.Sprintf("%T", err), "*")]++
	var lost *steer.RegionLostError
	if errors.As(err, &lost) {
		f.lastRegionLostAt = f.elapsed()
	}
}

// recordSent counts the moves and the running requests. It uses only the
// requests and their regions, not the plans and tokens of the code under
// test.
func (f *fleet) recordSent(e *entryHost, q steer.Request, d steer.Decision) {
	name := backend.SlotLimitName(d.Service, d.Region)
	f.runningRequests[name]++
	if f.runningRequests[name] > f.slotCapacity[name] {
		f.requestsOverSlots++
	}
	if d.Region == f.deployment.regions[0] {
		f.lastSentToFirstRegion = f.elapsed()
	}
	key := trafficKeyOf(e, q)
	f.lastRegions[key] = d.Region
	if originalRegion := f.originalRegions[key]; originalRegion != d.Region {
		f.shiftMeters[steer.ShiftLimitName(originalRegion, d.Region)].count(f.now)
	}
}

// resetOriginalRegions makes the latest region of each trafficKey its
// original region, so that requests that return count as moves.
func (f *fleet) resetOriginalRegions() {
	maps.Copy(f.originalRegions, f.lastRegions)
}

func (f *fleet) serveRequest(e *entryHost, q steer.Request, r *backend.Reservation, arrived time.Time, delay time.Duration) {
	s := f.servers[r.Server]
	outcome := backend.Outcome(backend.Responded{})
	serviceTime := time.Duration((0.5 + f.random.Float64()) * float64(warmServiceTime))
	cache := cacheKey{
		traffic: trafficKeyOf(e, q),
		region:  r.Region,
	}
	if !f.warmCaches[cache] && f.originalRegions[cache.traffic] != r.Region {
		serviceTime *= coldCacheFactor
	}
	switch {
	case s.failed:
		outcome = backend.Failed{}
		serviceTime = 0
	case !s.drainingSince.IsZero():
		outcome = f.rejectWhileDraining(s)
	}
	f.schedule(serviceTime, func() {
		f.warmCaches[cache] = true
		f.schedule(delay, func() { f.finishRequest(e, q, r, arrived, outcome) })
	})
}

// rejectWhileDraining returns a draining server's outcome. It rejects all requests
// unless a control run switches that off.
func (f *fleet) rejectWhileDraining(s *fakeServer) backend.Outcome {
	late := f.now.Sub(s.drainingSince) > backend.DrainGracePeriod
	if late {
		f.sentAfterGracePeriod++
	}
	if !f.faults.noDrainRejection {
		return backend.Rejected{
			Draining: true,
		}
	}
	if late {
		f.servedAfterGracePeriod++
	}
	return backend.Responded{}
}

func (f *fleet) finishRequest(e *entryHost, q steer.Request, r *backend.Reservation, arrived time.Time, outcome backend.Outcome) {
	f.runningRequests[backend.SlotLimitName(r.Service, r.Region)]--
	e.pool.Release(r, outcome)
	if _, answered := outcome.(backend.Responded); !answered {
		f.rejected[strings.TrimPrefix(fmt.Sprintf("%T", outcome), "*")]++
		return
	}
	f.answered[q.Team]++
	f.latencies = append(f.latencies, f.now.Sub(arrived))
}

// answeredShares returns the share of requests answered, for the worst-served
// small team, for the worst-served large team and for all teams together.
func (f *fleet) answeredShares() (small, large, all float64) {
	small, large = 1, 1
	sent, answered := 0, 0
	for team, count := range f.sent {
		share := float64(f.answered[team]) / float64(count)
		if strings.HasPrefix(team, "small") {
			small = min(small, share)
		} else {
			large = min(large, share)
		}
		sent += count
		answered += f.answered[team]
	}
	return small, large, float64(answered) / float64(sent)
}
