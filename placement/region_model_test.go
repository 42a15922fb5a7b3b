package placement_test

import (
	"cmp"
	"container/list"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilline.example/trefoilline/placement"
)

const (
	modelService  = "stock"
	modelTick     = 10 * time.Millisecond
	modelUpdate   = 250 * time.Millisecond
	modelSlotTime = 80 * time.Millisecond
	// coldFactor is how much longer a request takes whose key the server does not have cached.
	coldFactor     = 3
	modelRoundTrip = 110 * time.Millisecond
	modelTarget    = 800 * time.Millisecond
	modelWindow    = 2 * time.Second
	modelRateTime  = 2 * time.Second
	keysPerRegion  = 1500
	// cachedKeys is how many keys a server remembers: a quarter more than there are per server.
	cachedKeys     = 256
	slotsPerServer = 9
)

// regionModel is a queueing model of the regions of a service. Each server is a queue in front
// of its slots, and remembers the keys that it used last.
type regionModel struct {
	// rates returns the requests per second of a region's callers.
	rates func(region string, at time.Duration) float64
	// decide returns the next plan of a region.
	decide func(plan placement.RegionPlan, in placement.PlanInput) placement.RegionPlan
	// alterReport changes what a region learns; it may be nil.
	alterReport func(at time.Duration, in *placement.PlanInput)

	random  *rand.Rand
	regions map[string]*modelRegion
	names   []string
}

type modelRegion struct {
	servers []*modelServer
	keys    []*modelKey
	plan    placement.RegionPlan
	rate    float64
	// load is the moving average of the requests that the region's servers report.
	load   float64
	result modelResult
	// served counts the served requests of the region's callers by window and by the region
	// that served them.
	served []map[string]float64
	// chosen counts all requests of the region's callers in the same way, rejected ones included.
	chosen []map[string]float64
}

func (r *modelRegion) slots() float64 {
	slots := 0.0
	for _, s := range r.servers {
		if !s.isGone {
			slots += slotsPerServer
		}
	}
	return slots
}

func (r *modelRegion) utilization() float64 { return r.load / r.slots() }

type modelServer struct {
	name string
	// isGone is true once the server takes no requests.
	isGone bool
	// free holds when each slot becomes free.
	free   [slotsPerServer]time.Duration
	cached map[*modelKey]*list.Element
	recent list.List
}

// modelKey is an affinity key of a region's callers.
type modelKey struct {
	homeFraction float64
	// regionHash is hashed with the name of each region, and ranked are its servers there.
	regionHash map[string]float64
	ranked     map[string][]*modelServer
}

// modelResult is what became of the requests of a region's callers.
type modelResult struct{ requests, inTarget, rejected, cold float64 }

// firstFree returns the slot that becomes free first.
func (s *modelServer) firstFree() *time.Duration {
	first := &s.free[0]
	for i := range s.free {
		if s.free[i] < *first {
			first = &s.free[i]
		}
	}
	return first
}

// reportedLoad returns the requests that the server reports: those that run, and one more if none of
// the slots is free, since hosts hold back the others in queues of their own.
func (s *modelServer) reportedLoad(at time.Duration) float64 {
	running := 0
	for _, free := range s.free {
		if free > at {
			running++
		}
	}
	if running == slotsPerServer {
		running++
	}
	return float64(running)
}

// newRegionModel returns a model of regions with the given numbers of servers.
func newRegionModel(servers map[string]int) *regionModel {
	m := &regionModel{
		random:  rand.New(rand.NewPCG(1, 2)),
		regions: make(map[string]*modelRegion),
		names:   slices.Sorted(maps.Keys(servers)),
	}
	slots := make(map[string]float64)
	for name, n := range servers {
		region := &modelRegion{}
		for i := range n {
			region.servers = append(region.servers, &modelServer{
				name:   fmt.Sprintf("%s-%d", name, i),
				cached: make(map[*modelKey]*list.Element),
			})
		}
		m.regions[name] = region
		slots[name] = region.slots()
	}
	for name, region := range m.regions {
		region.plan.RemoteShare = placement.InitialRemoteShare(name, slots)
		for i := range keysPerRegion {
			region.keys = append(region.keys, m.newKey(fmt.Sprintf("%s/%d", name, i)))
		}
	}
	return m
}

func (m *regionModel) newKey(name string) *modelKey {
	key := &modelKey{
		homeFraction: placement.HashFraction("home/" + name),
		regionHash:   make(map[string]float64),
		ranked:       make(map[string][]*modelServer),
	}
	for region, r := range m.regions {
		key.regionHash[region] = placement.HashFraction(name + "/" + region)
		key.ranked[region] = slices.SortedFunc(slices.Values(r.servers), func(a, b *modelServer) int {
			return cmp.Compare(placement.HashFraction(name+a.name), placement.HashFraction(name+b.name))
		})
	}
	return key
}

// run simulates the regions for the duration.
func (m *regionModel) run(duration time.Duration) {
	for at := time.Duration(0); at < duration; at += modelTick {
		for _, name := range m.names {
			m.arrive(name, at)
		}
		m.measure(at)
		if at%modelUpdate == 0 {
			m.update(at)
		}
	}
}

// arrive serves the requests of a region's callers that arrive in a tick.
func (m *regionModel) arrive(name string, at time.Duration) {
	region := m.regions[name]
	mean := m.rates(name, at) * modelTick.Seconds()
	count := 0
	for p := m.random.ExpFloat64(); p < mean; p += m.random.ExpFloat64() {
		count++
	}
	decay := math.Exp(-modelTick.Seconds() / modelRateTime.Seconds())
	region.rate = region.rate*decay + float64(count)/modelRateTime.Seconds()
	window := int(at / modelWindow)
	for len(region.served) <= window {
		region.served = append(region.served, make(map[string]float64))
		region.chosen = append(region.chosen, make(map[string]float64))
	}
	for range count {
		// A third of the keys get half of the requests.
		key := region.keys[int(keysPerRegion*math.Pow(m.random.Float64(), 1.6))]
		region.result.requests++
		runIn, isServed := m.serve(name, key, at)
		region.chosen[window][runIn]++
		if isServed {
			region.served[window][runIn]++
		}
	}
}

// serve runs a request, unless the wait would be too long, and returns the region that was chosen.
func (m *regionModel) serve(from string, key *modelKey, at time.Duration) (string, bool) {
	caller := m.regions[from]
	runIn := m.choose(from, key)
	server := m.regions[runIn].chooseServer(key, runIn, at)
	slot := server.firstFree()
	wait := max(0, *slot-at)
	if wait > modelTarget/2 {
		caller.result.rejected++
		return runIn, false
	}
	slotTime := modelSlotTime
	if !server.use(key) {
		slotTime *= coldFactor
		caller.result.cold++
	}
	*slot = at + wait + slotTime
	latency := wait + slotTime
	if runIn != from {
		latency += modelRoundTrip
	}
	if latency <= modelTarget {
		caller.result.inTarget++
	}
	return runIn, true
}

// choose returns the region that the key's requests run in.
func (m *regionModel) choose(from string, key *modelKey) string {
	plan := m.regions[from].plan
	if key.homeFraction >= plan.RemoteShare {
		return from
	}
	best, bestScore := "", -1.0
	for _, name := range m.names {
		if name == from {
			continue
		}
		weight := m.regions[name].slots()
		if len(plan.Destinations) > 0 {
			weight = plan.Destinations[name]
		}
		if score := -weight / math.Log(key.regionHash[name]); score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// chooseServer returns the key's first server with a free slot, of two, or of one if the
// region is highly utilized.
func (r *modelRegion) chooseServer(key *modelKey, region string, at time.Duration) *modelServer {
	ranked := slices.DeleteFunc(slices.Clone(key.ranked[region]), func(s *modelServer) bool { return s.isGone })
	if r.utilization() > 0.6 || len(ranked) == 1 {
		return ranked[0]
	}
	first, second := *ranked[0].firstFree(), *ranked[1].firstFree()
	if first <= at || first <= second {
		return ranked[0]
	}
	return ranked[1]
}

// use records the use of a key, and reports whether the server had it cached.
func (s *modelServer) use(key *modelKey) bool {
	if element, isCached := s.cached[key]; isCached {
		s.recent.MoveToFront(element)
		return true
	}
	s.cached[key] = s.recent.PushFront(key)
	if s.recent.Len() > cachedKeys {
		delete(s.cached, s.recent.Remove(s.recent.Back()).(*modelKey))
	}
	return false
}

// measure updates the moving average of the load that the servers report.
func (m *regionModel) measure(at time.Duration) {
	for _, region := range m.regions {
		load := 0.0
		for _, s := range region.servers {
			load += s.reportedLoad(at)
		}
		region.load += (load - region.load) * (1 - math.Exp(-modelTick.Seconds()))
	}
}

// update computes the next plans of all regions.
func (m *regionModel) update(at time.Duration) {
	next := make(map[string]placement.RegionPlan)
	for _, name := range m.names {
		in := placement.PlanInput{
			Service:     modelService,
			Region:      name,
			Reports:     make(placement.RegionReports),
			Utilization: make(placement.RegionUtilization),
			Elapsed:     modelUpdate,
			MaxShift:    0.15,
		}
		for other, region := range m.regions {
			in.Reports[other] = placement.RegionReport{
				Slots:         region.slots(),
				Demand:        region.rate * modelSlotTime.Seconds(),
				IsDemandKnown: true,
			}
			in.Utilization[other] = region.utilization()
		}
		if m.alterReport != nil {
			m.alterReport(at, &in)
		}
		next[name] = m.regions[name].plan
		if !in.Utilization.IsIdle() {
			next[name] = m.decide(m.regions[name].plan, in)
		}
	}
	for name, plan := range next {
		m.regions[name].plan = plan
	}
}

// maxWindowChange returns the largest fraction of a region's served requests that run in
// another region than in the window before. It also changes when a region rejects requests.
func (m *regionModel) maxWindowChange(name string) float64 {
	return m.largestChange(m.regions[name].served)
}

// maxChosenChange returns the same of all requests by the region that was chosen for them.
func (m *regionModel) maxChosenChange(name string) float64 {
	return m.largestChange(m.regions[name].chosen)
}

func (m *regionModel) largestChange(windows []map[string]float64) float64 {
	largest := 0.0
	for i := 1; i < len(windows); i++ {
		before, now := fractions(windows[i-1]), fractions(windows[i])
		change := 0.0
		for _, region := range m.names {
			change += math.Abs(now[region]-before[region]) / 2
		}
		largest = max(largest, change)
	}
	return largest
}

func fractions(counts map[string]float64) map[string]float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	result := make(map[string]float64)
	for region, n := range counts {
		result[region] = n / max(total, 1)
	}
	return result
}
