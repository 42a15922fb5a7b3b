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

// fleetSnapshot is the state of the fleet at one time, aggregated over all hosts.
type fleetSnapshot struct {
	at      time.Time
	hosts   []hostStatus
	regions map[serviceRegion]regionTotals
	teams   map[string]teamTotals
	routes  map[string][]*trefoillinev1.RegionWeight
}

// serviceRegion identifies a service in a region.
type serviceRegion struct {
	region  string
	service string
}

// regionTotals holds the totals of a service's backend servers in a region. Each host
// knows all servers and their slots, so servers, usable and slots are the maximum over
// the hosts. Each host counts only its own running requests, so running is the sum.
type regionTotals struct {
	servers uint32
	usable  uint32
	slots   uint32
	running uint32
}

// teamTotals holds the sums of a team's requests over all hosts. Requests rejected
// because the team exceeded its rate are counted in overRate and not in rejected. The
// latencies are the maximum over the hosts.
type teamTotals struct {
	answered uint64
	overRate uint64
	rejected uint64
	p50      time.Duration
	p99      time.Duration
}

func newFleetSnapshot(at time.Time, hosts []hostStatus) fleetSnapshot {
	f := fleetSnapshot{
		at:      at,
		hosts:   hosts,
		regions: make(map[serviceRegion]regionTotals),
		teams:   make(map[string]teamTotals),
		routes:  make(map[string][]*trefoillinev1.RegionWeight),
	}
	for _, h := range hosts {
		f.addResponse(h.response)
	}
	return f
}

// addResponse adds the response of one host. The weights of a route are those of the last
// host that reports it. A nil response changes nothing.
func (f *fleetSnapshot) addResponse(response *trefoillinev1.StatusResponse) {
	for _, r := range response.GetRegions() {
		key := serviceRegion{
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
	for _, t := range response.GetTeams() {
		sum := f.teams[t.GetTeam()]
		sum.answered += t.GetAnswered()
		sum.overRate += t.GetOverRate()
		sum.rejected += t.GetRefused()
		sum.p50 = max(sum.p50, t.GetLatencyP50().AsDuration())
		sum.p99 = max(sum.p99, t.GetLatencyP99().AsDuration())
		f.teams[t.GetTeam()] = sum
	}
	for _, r := range response.GetRoutes() {
		f.routes[r.GetRoute()] = r.GetWeights()
	}
}

// writeFleet writes the current snapshot as tables. Rates are those since the previous
// snapshot.
func writeFleet(w io.Writer, previous, current fleetSnapshot) error {
	outputs := []textOutput{
		fleetStatus{
			Hosts: current.hosts,
		}.textOutput(),
		regionOutput(current),
		routeOutput(current),
		teamOutput(previous, current),
	}
	for _, text := range outputs {
		if err := writeTextOutput(w, text); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return wrapOutputError(err)
		}
	}
	return nil
}

func regionOutput(f fleetSnapshot) textOutput {
	text := textOutput{
		header: []string{"REGION", "SERVICE", "SERVERS", "USABLE", "SLOTS", "RUNNING", "HEADROOM"},
	}
	keys := slices.SortedFunc(maps.Keys(f.regions), func(a, b serviceRegion) int {
		return slices.Compare([]string{a.region, a.service}, []string{b.region, b.service})
	})
	for _, k := range keys {
		r := f.regions[k]
		text.rows = append(text.rows, []string{
			k.region, k.service, formatCount(r.servers), formatCount(r.usable), formatCount(r.slots), formatCount(r.running),
			strconv.FormatInt(int64(r.slots)-int64(r.running), 10),
		})
	}
	return text
}

func formatCount(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func routeOutput(f fleetSnapshot) textOutput {
	text := textOutput{
		header: []string{"ROUTE", "REGION", "TABLE WEIGHT", "IN EFFECT"},
	}
	for _, name := range slices.Sorted(maps.Keys(f.routes)) {
		for _, weight := range f.routes[name] {
			text.rows = append(text.rows, []string{
				name, weight.GetRegion(), formatNumber(weight.GetTableWeight()),
				strconv.FormatFloat(weight.GetEffectiveWeight(), 'f', 3, 64),
			})
		}
	}
	return text
}

func teamOutput(previous, current fleetSnapshot) textOutput {
	text := textOutput{
		header: []string{"TEAM", "ANSWERED/S", "OVER RATE/S", "REFUSED/S", "ANSWERED", "REFUSED", "P50", "P99"},
	}
	for _, name := range slices.Sorted(maps.Keys(current.teams)) {
		total, previousTotal := current.teams[name], previous.teams[name]
		elapsed := current.at.Sub(previous.at)
		text.rows = append(text.rows, []string{
			name,
			perSecond(previousTotal.answered, total.answered, elapsed, previous.at),
			perSecond(previousTotal.overRate, total.overRate, elapsed, previous.at),
			perSecond(previousTotal.rejected, total.rejected, elapsed, previous.at),
			strconv.FormatUint(total.answered, 10),
			strconv.FormatUint(total.overRate+total.rejected, 10),
			total.p50.Round(100 * time.Microsecond).String(),
			total.p99.Round(100 * time.Microsecond).String(),
		})
	}
	return text
}

// perSecond returns a rate as text. It is empty if the rate is unknown: in the first
// snapshot, and after a counter reset (a host restarted).
func perSecond(previous, current uint64, elapsed time.Duration, previousTime time.Time) string {
	if previousTime.IsZero() || elapsed <= 0 || current < previous {
		return ""
	}
	return strconv.FormatFloat(float64(current-previous)/elapsed.Seconds(), 'f', 1, 64)
}
