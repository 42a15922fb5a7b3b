package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

// smallRegion has a tenth of the servers in one region.
func smallRegion() map[string]int {
	return map[string]int{
		"accra":  2,
		"kumasi": 10,
		"tamale": 10,
	}
}

// TestPlanServesWaveOfSmallRegion replays demand in waves of 0.45 to 1.55 times its mean with a
// period of 36 s, a third of a period apart in each region, with a tenth of the servers in one
// region and a third of the demand. It guards against a plan that serves less of it than the
// rule by utilization, or moves more requests at once.
func TestPlanServesWaveOfSmallRegion(t *testing.T) {
	for _, utilization := range []float64{0.65, 0.8, 1, 1.5} {
		run := func(name string, decide func(placement.RegionPlan, placement.PlanInput) placement.RegionPlan) *regionModel {
			m := newRegionModel(smallRegion())
			m.rates = m.wave(utilization)
			m.decide = decide
			m.run(108 * time.Second)
			t.Logf("demand %.2f of the slots, %s: in target %.3f, accra %.3f; largest change of accra %.3f, kumasi %.3f, tamale %.3f",
				utilization, name, m.inTarget(), m.inTargetOf("accra"),
				m.maxWindowChange("accra"), m.maxWindowChange("kumasi"), m.maxWindowChange("tamale"))
			return m
		}
		reactive := run("by utilization", decideReactive)
		planned := run("by plan", decidePlanned)
		require.Greater(t, planned.inTarget(), reactive.inTarget())
		require.Greater(t, planned.inTargetOf("accra"), reactive.inTargetOf("accra"))
		for _, region := range planned.names {
			require.Less(t, planned.maxWindowChange(region), testMaxShift, region)
		}
	}
}

// TestPlanDoesNotFollowWave guards against keys that move to other regions and back in each
// period of a wave: in the last period, the small region's share must stay within a fifth.
func TestPlanDoesNotFollowWave(t *testing.T) {
	m := newRegionModel(smallRegion())
	m.rates = m.wave(0.8)
	lowest, highest := 1.0, 0.0
	var now time.Duration
	m.alterReport = func(at time.Duration, _ *placement.PlanInput) { now = at }
	m.decide = func(plan placement.RegionPlan, in placement.PlanInput) placement.RegionPlan {
		if in.Region == "accra" && now > 72*time.Second {
			lowest, highest = min(lowest, plan.RemoteShare), max(highest, plan.RemoteShare)
		}
		return plan.Next(in)
	}
	m.run(108 * time.Second)
	t.Logf("share from %.2f to %.2f", lowest, highest)
	require.Less(t, highest-lowest, 0.2)
}

// TestPlanFollowsStepInDemand replays demand of one region that doubles at once and stays. It
// guards against a plan that reacts later than the rule by utilization, or overshoots.
func TestPlanFollowsStepInDemand(t *testing.T) {
	run := func(utilization float64, decide func(placement.RegionPlan, placement.PlanInput) placement.RegionPlan) *regionModel {
		m := newRegionModel(map[string]int{
			"accra":  7,
			"kumasi": 7,
			"tamale": 8,
		})
		mean := m.meanRate(utilization)
		m.rates = func(region string, at time.Duration) float64 {
			if region == "accra" && at >= 20*time.Second {
				return 2 * mean
			}
			return mean
		}
		m.decide = decide
		m.run(60 * time.Second)
		return m
	}
	// With half of the slots idle after the step, both rules serve nearly all; with few, the plan
	// must serve more.
	const (
		noise          = 0.001
		fewSlotsIdleAt = 0.7
	)
	for _, utilization := range []float64{0.45, 0.55, fewSlotsIdleAt, 0.8} {
		reactive, planned := run(utilization, decideReactive), run(utilization, decidePlanned)
		t.Logf("from %.2f of the slots: in target %.4f by utilization, %.4f by plan; share %.2f and %.2f", utilization, reactive.inTarget(), planned.inTarget(),
			reactive.regions["accra"].plan.RemoteShare, planned.regions["accra"].plan.RemoteShare)
		require.Greater(t, planned.inTarget(), reactive.inTarget()-noise)
		if utilization >= fewSlotsIdleAt {
			require.Greater(t, planned.inTarget(), reactive.inTarget())
		}
		require.Less(t, planned.maxWindowChange("accra"), testMaxShift)
		require.Less(t, planned.regions["accra"].plan.RemoteShare, 0.4, "the region has a third of the slots and half of the demand")
	}
}

// TestPlanFollowsChangeInCapacityWithinBound replays a large region that loses more than half of its servers at
// once and gets them back. It guards against a plan that keeps all load there, and against more requests
// than allowed that change their region.
func TestPlanFollowsChangeInCapacityWithinBound(t *testing.T) {
	run := func(decide func(placement.RegionPlan, placement.PlanInput) placement.RegionPlan) *regionModel {
		m := newRegionModel(smallRegion())
		m.rates = m.constant(0.6)
		m.decide = decide
		m.alterReport = func(at time.Duration, _ *placement.PlanInput) {
			for _, server := range m.regions["kumasi"].servers[:6] {
				server.isGone = at >= 20*time.Second && at < 50*time.Second
			}
		}
		m.run(70 * time.Second)
		return m
	}
	reactive, planned := run(decideReactive), run(decidePlanned)
	t.Logf("in target %.4f by utilization, %.4f by plan; kumasi %.3f and %.3f, accra %.3f and %.3f", reactive.inTarget(), planned.inTarget(),
		reactive.inTargetOf("kumasi"), planned.inTargetOf("kumasi"), reactive.inTargetOf("accra"), planned.inTargetOf("accra"))
	// Both rules share the loss among all regions; the plan does so before queues build up in kumasi.
	const noise = 0.001
	require.Greater(t, planned.inTarget(), reactive.inTarget()-noise)
	require.Greater(t, planned.inTargetOf("kumasi"), reactive.inTargetOf("kumasi"))
	for _, region := range planned.names {
		t.Logf("%s: largest change of requests %.3f and %.3f, of served requests %.3f and %.3f", region,
			reactive.maxChosenChange(region), planned.maxChosenChange(region), reactive.maxWindowChange(region), planned.maxWindowChange(region))
		// The fraction of the served requests changes further, because kumasi rejects requests of all
		// regions after the loss.
		require.Less(t, planned.maxChosenChange(region), testMaxShift, region)
	}
}

// TestPlanIgnoresNoiseInLoadReports replays load reports that change by half several times a
// second, as machines whose speed changes cause. The plan must stay as it is without them.
func TestPlanIgnoresNoiseInLoadReports(t *testing.T) {
	run := func(noise float64) []float64 {
		m := newRegionModel(smallRegion())
		m.rates = m.constant(0.7)
		m.decide = decidePlanned
		random := rand.New(rand.NewPCG(3, 4))
		var shares []float64
		m.alterReport = func(at time.Duration, in *placement.PlanInput) {
			for region := range in.Utilization {
				in.Utilization[region] *= 1 + noise*(2*random.Float64()-1)
			}
			if in.Region == "accra" && at > 20*time.Second {
				shares = append(shares, m.regions["accra"].plan.RemoteShare)
			}
		}
		m.run(50 * time.Second)
		return shares
	}
	quiet, noisy := run(0), run(0.5)
	for i := range quiet {
		require.InDelta(t, quiet[i], noisy[i], 0.05)
	}
}

// TestPlanWithLateAndLostReports replays heartbeats that are 1.5 s late, of which three in ten are
// lost. The plan must serve nearly as much as with all of them, and move no more at once.
func TestPlanWithLateAndLostReports(t *testing.T) {
	run := func(isImpaired bool) *regionModel {
		m := newRegionModel(smallRegion())
		m.rates = m.wave(0.8)
		m.decide = decidePlanned
		random := rand.New(rand.NewPCG(5, 6))
		const delay = int(1500 * time.Millisecond / modelUpdate)
		history := make(map[string][]placement.RegionReports)
		m.alterReport = func(_ time.Duration, in *placement.PlanInput) {
			if !isImpaired {
				return
			}
			history[in.Region] = append(history[in.Region], in.Reports)
			late := history[in.Region][max(0, len(history[in.Region])-1-delay)]
			received := make(placement.RegionReports)
			for region, report := range late {
				if region == in.Region {
					report = in.Reports[region]
				} else if random.Float64() < 0.3 {
					report.IsDemandKnown, report.Demand = false, 0
				}
				received[region] = report
			}
			in.Reports = received
		}
		m.run(108 * time.Second)
		return m
	}
	whole, impaired := run(false), run(true)
	t.Logf("in target %.3f and %.3f; largest change of accra %.3f", whole.inTarget(), impaired.inTarget(), impaired.maxWindowChange("accra"))
	require.Greater(t, impaired.inTarget(), whole.inTarget()-0.01)
	for _, region := range impaired.names {
		require.Less(t, impaired.maxWindowChange(region), testMaxShift, region)
	}
}

// TestHostsThatDisagreeByOneReportPlanAlike compares two hosts of a region of which one gets each
// report an update later. Their shares must not drift apart.
func TestHostsThatDisagreeByOneReportPlanAlike(t *testing.T) {
	m := newRegionModel(smallRegion())
	m.rates = m.wave(0.8)
	var late placement.RegionPlan
	var last *placement.PlanInput
	largest := 0.0
	m.decide = func(plan placement.RegionPlan, in placement.PlanInput) placement.RegionPlan {
		if in.Region == "accra" {
			if last == nil {
				late = plan
			} else {
				late = late.Next(*last)
			}
			last = &in
			next := plan.Next(in)
			largest = max(largest, late.RemoteShare-next.RemoteShare, next.RemoteShare-late.RemoteShare)
			return next
		}
		return plan.Next(in)
	}
	m.run(108 * time.Second)
	t.Logf("largest difference %.3f", largest)
	require.Less(t, largest, 0.03)
}

// TestPlanMovesNothingWhileAllRegionsAreEquallyOverloaded guards against moves that gain nothing:
// the new servers of keys that move do not have them cached.
func TestPlanMovesNothingWhileAllRegionsAreEquallyOverloaded(t *testing.T) {
	m := newRegionModel(map[string]int{
		"accra":  7,
		"kumasi": 7,
		"tamale": 7,
	})
	m.rates = m.constant(1.5)
	m.decide = decidePlanned
	m.run(20 * time.Second)
	for _, region := range m.regions {
		require.Less(t, region.plan.RemoteShare, 0.03)
	}
}

// TestPlanOfUnknownDemandIsByUtilization guards against a plan from no demand, which would keep all
// load in its region: hosts of the build before report no slot times until servers have responded.
func TestPlanOfUnknownDemandIsByUtilization(t *testing.T) {
	in := placement.PlanInput{
		Service: modelService,
		Region:  "accra",
		Reports: placement.RegionReports{
			"accra": {
				Slots: 10,
			},
			"kumasi": {
				Slots: 90,
			},
		},
		Utilization: placement.RegionUtilization{
			"accra":  1.1,
			"kumasi": 0.3,
		},
		Elapsed: modelUpdate,
	}
	plan := placement.RegionPlan{
		RemoteShare: 0.2,
	}
	want := placement.RemoteShares{
		modelService: 0.2,
	}.NextShare(in.Service, in.Region, in.Utilization, in.Elapsed)
	next := plan.Next(in)
	require.False(t, next.IsPlanned)
	require.InDelta(t, want, next.RemoteShare, 1e-9)
}

// TestPlanKeepsDemandOfSilentRegion guards against a plan that sends load to a region only because
// its heartbeats are lost for a while.
func TestPlanKeepsDemandOfSilentRegion(t *testing.T) {
	reports := func(isHeard bool) placement.RegionReports {
		reports := make(placement.RegionReports)
		for _, region := range []string{"accra", "kumasi", "tamale"} {
			reports[region] = placement.RegionReport{
				Slots:         100,
				Demand:        80,
				IsDemandKnown: region == "accra" || isHeard,
			}
		}
		return reports
	}
	var plan placement.RegionPlan
	for i := range 120 {
		plan = plan.Next(placement.PlanInput{
			Service: modelService,
			Region:  "accra",
			Reports: reports(i < 60),
			Utilization: placement.RegionUtilization{
				"accra":  0.8,
				"kumasi": 0.8,
				"tamale": 0.8,
			},
			Elapsed: modelUpdate,
		})
		require.Zero(t, plan.RemoteShare, fmt.Sprint(time.Duration(i)*modelUpdate))
	}
}

// TestLimitLocalSharesWeighsRoutesByRequests guards against a change of the load that moves far more
// requests: a route with short slot times has most of the requests and little of the load.
func TestLimitLocalSharesWeighsRoutesByRequests(t *testing.T) {
	loads := []placement.RouteLoad{
		{
			Route:          "lookups",
			Service:        modelService,
			LatencyTarget:  modelTarget,
			CachedSlotTime: 10 * time.Millisecond,
			Rate:           900,
		},
		{
			Route:          "uploads",
			Service:        modelService,
			LatencyTarget:  modelTarget,
			CachedSlotTime: 100 * time.Millisecond,
			Rate:           100,
		},
	}
	const limit = 0.02
	inForce := map[string]float64{
		"lookups": 1,
		"uploads": 1,
	}
	wanted := placement.LocalShares(loads, placement.RemoteShares{
		modelService: 0.2,
	}, 0)
	limited := placement.LimitLocalShares(inForce, wanted, loads, limit)
	moved := 0.0
	for _, l := range loads {
		moved += l.Rate / 1000 * (inForce[l.Route] - limited[l.Route])
	}
	require.InDelta(t, limit, moved, 1e-9)
	require.Equal(t, wanted, placement.LimitLocalShares(nil, wanted, loads, limit), "no share is in force")
	require.Equal(t, wanted, placement.LimitLocalShares(inForce, wanted, nil, limit), "there are no requests")
}

// TestPlanLeavesRoomForDemandThatMayNotLeave guards against a plan that takes all slots of a region for
// requests that any region may serve, while some teams are bound to the region.
func TestPlanLeavesRoomForDemandThatMayNotLeave(t *testing.T) {
	share := func(bound float64) float64 {
		var plan placement.RegionPlan
		for range 200 {
			plan = plan.Next(placement.PlanInput{
				Service: modelService,
				Region:  "accra",
				Reports: placement.RegionReports{
					"accra": {
						Slots:         100,
						Demand:        100,
						BoundDemand:   bound,
						IsDemandKnown: true,
					},
					"kumasi": {
						Slots:         450,
						Demand:        200,
						IsDemandKnown: true,
					},
				},
				Elapsed:  modelUpdate,
				MaxShift: testMaxShift,
			})
		}
		return plan.RemoteShare
	}
	// The region serves its demand up to 0.65 of its slots, what is bound first.
	require.InDelta(t, 1-65.0/100, share(0), 0.05)
	require.InDelta(t, 1-25.0/100, share(40), 0.05)
	require.InDelta(t, 1, share(90), 0.05)
}
