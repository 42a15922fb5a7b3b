package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
)

// fleetSample is what all hosts said at one time, summed up.
type fleetSample struct {
	takenAt      time.Time
	hosts   []hostStatus
	regions map[regionServiceKey]regionTotals
	teams   map[string]teamTotals
	routes  map[string][]*trefoillinev1.RegionWeight
}

// regionServiceKey is a service in a region.
type regionServiceKey struct {
	region  string
	service string
}

// regionTotals sums up a service's backend servers in a region. Each host sees all
// servers and their slots, so these are the largest seen; running requests are
// the hosts' own and add up.
type regionTotals struct {
	servers uint32
	usable  uint32
	slots   uint32
	running uint32
}

// teamTotals sums up a team's requests over all hosts; latencies are those of the
// slowest host.
type teamTotals struct {
	answered uint64
	overRate uint64
	refused  uint64
	p50      time.Duration
	p99      time.Duration
}

func newFleetSample(at time.Time, hosts []hostStatus) fleetSample {
	f := fleetSample{
		takenAt:      at,
		hosts:   hosts,
		regions: make(map[regionServiceKey]regionTotals),
		teams:   make(map[string]teamTotals),
		routes:  make(map[string][]*trefoillinev1.RegionWeight),
	}
	for _, h := range hosts {
		f.add(h.response)
	}
	return f
}

// add takes in one host's answer; nil adds nothing.
func (f *fleetSample) add(answer *trefoillinev1.StatusResponse) {
	for _, r := range answer.GetRegions() {
		key := regionServiceKey{
			region:  r.GetRegion(),
			service: r.GetService(),
		}
		sum := f.regions[key]
		sum.servers = max(sum.servers, r.GetServers())
		sum.usable = max(sum.usable, r.GetUsable())
		sum.slots = max(sum.slots, r.GetSlots())
		sum.running += r.GetRunning()
		f.regions[key] = sum
	}
	for _, t := range answer.GetTeams() {
		sum := f.teams[t.GetTeam()]
		sum.answered += t.GetAnswered()
		sum.overRate += t.GetOverRate()
		sum.refused += t.GetRefused()
		sum.p50 = max(sum.p50, t.GetLatencyP50().AsDuration())
		sum.p99 = max(sum.p99, t.GetLatencyP99().AsDuration())
		f.teams[t.GetTeam()] = sum
	}
	for _, r := range answer.GetRoutes() {
		f.routes[r.GetRoute()] = r.GetWeights()
	}
}

// writeFleet draws a sample; rates are since the sample before.
func writeFleet(w io.Writer, before, now fleetSample) error {
	grids := []textTable{
		fleetStatus{
			Hosts: now.hosts,
		}.textTable(),
		regionTable(now),
		routeTable(now),
		teamTable(before, now),
	}
	for _, g := range grids {
		if err := writeTextTable(w, g); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return wrapOutputError(err)
		}
	}
	return nil
}

func regionTable(f fleetSample) textTable {
	g := textTable{
		header: []string{"REGION", "SERVICE", "SERVERS", "USABLE", "SLOTS", "RUNNING", "HEADROOM"},
	}
	keys := slices.SortedFunc(maps.Keys(f.regions), func(a, b regionServiceKey) int {
		return slices.Compare([]string{a.region, a.service}, []string{b.region, b.service})
	})
	for _, k := range keys {
		r := f.regions[k]
		g.rows = append(g.rows, []string{
			k.region, k.service, formatCount(r.servers), formatCount(r.usable), formatCount(r.slots), formatCount(r.running),
			strconv.FormatInt(int64(r.slots)-int64(r.running), 10),
		})
	}
	return g
}

func formatCount(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func routeTable(f fleetSample) textTable {
	g := textTable{
		header: []string{"ROUTE", "REGION", "TABLE WEIGHT", "IN EFFECT"},
	}
	for _, name := range slices.Sorted(maps.Keys(f.routes)) {
		for _, weight := range f.routes[name] {
			g.rows = append(g.rows, []string{
				name, weight.GetRegion(), formatNumber(weight.GetTableWeight()),
				strconv.FormatFloat(weight.GetEffectiveWeight(), 'f', 3, 64),
			})
		}
	}
	return g
}

func teamTable(before, now fleetSample) textTable {
	g := textTable{
		header: []string{"TEAM", "ANSWERED/S", "OVER RATE/S", "REFUSED/S", "ANSWERED", "REFUSED", "P50", "P99"},
	}
	for _, name := range slices.Sorted(maps.Keys(now.teams)) {
		t, was := now.teams[name], before.teams[name]
		elapsed := now.takenAt.Sub(before.takenAt)
		g.rows = append(g.rows, []string{
			name,
			perSecond(was.answered, t.answered, elapsed, before.takenAt),
			perSecond(was.overRate, t.overRate, elapsed, before.takenAt),
			perSecond(was.refused, t.refused, elapsed, before.takenAt),
			strconv.FormatUint(t.answered, 10),
			strconv.FormatUint(t.overRate+t.refused, 10),
			t.p50.Round(100 * time.Microsecond).String(),
			t.p99.Round(100 * time.Microsecond).String(),
		})
	}
	return g
}

// perSecond is empty where no rate is known: in the first sample, and when a
// restart set the counter back.
func perSecond(before, now uint64, elapsed time.Duration, since time.Time) string {
	if since.IsZero() || elapsed <= 0 || now < before {
		return ""
	}
	return strconv.FormatFloat(float64(now-before)/elapsed.Seconds(), 'f', 1, 64)
}
