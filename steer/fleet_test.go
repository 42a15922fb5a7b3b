package steer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

const (
	// warmServiceTime is the mean time to serve a request from a warm cache, and
	// coldCacheFactor is how many times longer it takes with a cold cache.
	warmServiceTime = 40 * time.Millisecond
	coldCacheFactor = 4
	// linkDelay and localDelay are the one-way delays between and within regions.
	linkDelay  = 55 * time.Millisecond
	localDelay = time.Millisecond
	// controlInterval is the time between two runs of the control loops.
	controlInterval = time.Second
	// requestHashCount is the number of distinct request hashes per route.
	requestHashCount = 6000
)

// deployment describes a simulated installation.
type deployment struct {
	name     string
	regions  []string
	services []service
	shiftCap float64
}

var deployments = []deployment{
	{
		name:    "chalkline",
		regions: []string{"accra", "kumasi", "tamale"},
		services: []service{
			{
				name:        "storefront",
				serverCount: 24,
			},
			{
				name:        "packhouse",
				serverCount: 14,
			},
		},
		shiftCap: 15,
	},
	{
		name:    "vargas",
		regions: []string{"cartago", "limon", "puntarenas"},
		services: []service{
			{
				name:        "mostrador",
				serverCount: 20,
			},
			{
				name:        "bodega",
				serverCount: 12,
			},
		},
		shiftCap: 10,
	},
}

// service is a service and the number of its servers in all regions.
type service struct {
	name        string
	serverCount int
}

// bucket is a token bucket that counts the tokens in use.
type bucket struct {
	rate  float64
	burst float64
	used  float64
	last  time.Time
}

// leak frees the tokens that the rate adds up to now.
func (b *bucket) leak(now time.Time) {
	b.used = max(0, b.used-b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

// faults are the faults of a run. A fault whose value is zero does not occur.
// Times count from the start of the run.
type faults struct {
	// measurementsStop is when hosts stop to probe servers and to report, and
	// measurementsResume is when they start again.
	measurementsStop, measurementsResume time.Duration
	// understatedRates makes hosts report a tenth of the rates and of the running
	// requests.
	understatedRates bool
	// reportDelay is the delay of reports and probes.
	reportDelay time.Duration
	// planDelay is the additional delay of each plan to one host.
	planDelay time.Duration
	// hostReplaced is when one host is replaced by a new one.
	hostReplaced time.Duration
	// regionLost is when all servers of the first region fail, and
	// regionReturned is when they are back.
	regionLost, regionReturned time.Duration
	// regionDrained is when the drain of the first region starts.
	regionDrained time.Duration
	// serversLeave is when one server of each service in each region begins to
	// leave.
	serversLeave time.Duration

	// trafficStart is when the traffic starts.
	trafficStart time.Duration

	// The mechanisms that a run switches off.
	noLocalWeights, noShiftLimits, noSteps, noSlotLimits, noShedding bool
}

// fleet simulates the entry hosts and backend servers of a deployment in
// simulated time.
type fleet struct {
	deployment   deployment
	faults       faults
	start        time.Time
	now          time.Time
	random       *rand.Rand
	events       eventQueue
	table        table.Table
	plan         steer.Plan
	entryHosts   []*entryHost
	servers      map[string]*fakeServer
	shiftBuckets map[string]*bucket
	usedSlots    map[string]int

	// What the run recorded, apart from the state of the code under test.
	shiftMeters           map[string]*shiftMeter
	originalRegions       map[trafficKey]string
	lastRegions           map[trafficKey]string
	runningRequests       map[string]int
	slotCapacity          map[string]int
	requestsOverSlots     int
	servedAfterLeaveBound int
	sentAfterLeaveBound   int
	violations            int
	lastSentToFirstRegion time.Duration
	sent                  map[string]int
	answered              map[string]int
	refused               map[string]int
	steps                 int
	warmCaches            map[cacheKey]bool
	drainDone             bool
	latencies             []time.Duration
	crossedRegions        int
	lastRegionLostAt      time.Duration
}

// entryHost is an entry host with its last delivered report.
type entryHost struct {
	name   string
	region string
	router *steer.Router
	pool   *backend.Pool
	report steer.Report
}

// trafficKey identifies the requests with one hash on one route at the entry
// hosts of a region.
type trafficKey struct {
	region string
	route  string
	hash   steer.RequestHash
}

// cacheKey identifies the cached data for some traffic in a region.
type cacheKey struct {
	traffic trafficKey
	region  string
}

// fakeServer is a simulated backend server.
type fakeServer struct {
	machine      objectstore.Machine
	running      int
	failed       bool
	leavingSince time.Time
}

// event is an action at a point of simulated time. Events at the same time
// run in the order of scheduling.
type event struct {
	at    time.Time
	order int
	run   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue struct {
	list  []event
	count int
}

func (e *eventQueue) Len() int { return len(e.list) }

func (e *eventQueue) Less(i, j int) bool {
	if e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].order < e.list[j].order
	}
	return e.list[i].at.Before(e.list[j].at)
}

func (e *eventQueue) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

func (e *eventQueue) Push(x any) { e.list = append(e.list, x.(event)) }

func (e *eventQueue) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// schedule runs the function after the duration of simulated time.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.events.count++
	heap.Push(&f.events, event{
		at:    f.now.Add(d),
		order: f.events.count,
		run:   run,
	})
}

// run simulates the fleet for the length of time, or until a drain is done.
func (f *fleet) run(length time.Duration) {
	f.schedule(0, f.runControlLoops)
	for _, route := range f.table.Routes {
		f.schedule(f.faults.trafficStart, func() { f.handleArrival(route) })
	}
	end := f.start.Add(length)
	for !f.drainDone && f.events.list[0].at.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	for _, e := range f.entryHosts {
		f.violations += e.router.ViolationCount() + e.pool.ViolationCount()
	}
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(f.start) }

// Take implements steer.Limiter with exact counts over all hosts. It grants
// tokens of a limit without a bucket always.
func (f *fleet) Take(name string, count float64) steer.TakeResult {
	b := f.shiftBuckets[name]
	if b == nil || f.faults.noShiftLimits {
		return steer.Granted{}
	}
	b.leak(f.now)
	if b.used+count > b.burst {
		return steer.Rejected{}
	}
	b.used += count
	return steer.Granted{}
}

// Acquire takes a slot of the service in the region, if one is free.
func (f *fleet) Acquire(service, region string) bool {
	name := backend.SlotLimitName(service, region)
	if f.usedSlots[name] >= f.slotCapacity[name] {
		return false
	}
	f.usedSlots[name]++
	return true
}

// Release frees a slot of the service in the region.
func (f *fleet) Release(service, region string) {
	f.usedSlots[backend.SlotLimitName(service, region)]--
}

func newFleet(d deployment, seed uint64, faults faults) *fleet {
	f := &fleet{
		deployment:      d,
		faults:          faults,
		start:           time.Unix(1_000_000, 0),
		random:          rand.New(rand.NewPCG(seed, 0)),
		servers:         make(map[string]*fakeServer),
		shiftBuckets:    make(map[string]*bucket),
		usedSlots:       make(map[string]int),
		shiftMeters:     make(map[string]*shiftMeter),
		originalRegions: make(map[trafficKey]string),
		lastRegions:     make(map[trafficKey]string),
		runningRequests: make(map[string]int),
		slotCapacity:    make(map[string]int),
		sent:            make(map[string]int),
		answered:        make(map[string]int),
		refused:         make(map[string]int),
		warmCaches:      make(map[cacheKey]bool),
	}
	f.now = f.start
	f.buildTable()
	f.buildServers()
	for i := range 7 {
		f.entryHosts = append(f.entryHosts, f.newEntryHost(fmt.Sprintf("entry-%d", i), d.regions[i%3]))
	}
	f.plan, _ = steer.NextPlan(f.plan, f.table, f.initialMeasurements(), f.now)
	for _, e := range f.entryHosts {
		e.router.SetPlan(f.plan)
	}
	f.recordOriginalRegions()
	return f
}

// initialMeasurements returns reports in which the traffic of each service is
// spread evenly over the hosts.
func (f *fleet) initialMeasurements() steer.Measurements {
	var m steer.Measurements
	for _, e := range f.entryHosts {
		report := steer.Report{
			Host:       e.name,
			Region:     e.region,
			MeasuredAt: f.now,
		}
		for _, s := range f.deployment.services {
			report.Routes = append(report.Routes, steer.RouteRate{
				Route: s.name,
				Rate:  f.requestRate(s.name) / float64(len(f.entryHosts)),
			})
		}
		m.Hosts = append(m.Hosts, e.name)
		m.Reports = append(m.Reports, report)
	}
	return m
}

func (f *fleet) buildTable() {
	f.table.Version = 1
	for _, region := range f.deployment.regions {
		if !f.faults.noLocalWeights {
			f.table.Regions = append(f.table.Regions, table.Region{
				Name: region,
			})
		}
	}
	for _, s := range f.deployment.services {
		f.table.Routes = append(f.table.Routes, table.Route{
			Name:    s.name,
			Service: s.name,
			Weights: []table.Weight{
				{
					Region: f.deployment.regions[0],
					Weight: 0.4,
				},
				{
					Region: f.deployment.regions[1],
					Weight: 0.3,
				},
				{
					Region: f.deployment.regions[2],
					Weight: 0.3,
				},
			},
		})
	}
	if f.faults.regionDrained > 0 {
		f.table.Drains = append(f.table.Drains, table.Drain{
			Region: f.deployment.regions[0],
			Start:  f.start.Add(f.faults.regionDrained),
			End:    f.start.Add(time.Hour),
		})
	}
	for _, from := range f.deployment.regions {
		for _, to := range f.deployment.regions {
			if from == to {
				continue
			}
			f.table.Links = append(f.table.Links, table.Link{
				From:         from,
				To:           to,
				Rate:         1000,
				Burst:        200,
				MaxShiftRate: f.deployment.shiftCap,
			})
			name := steer.ShiftLimitName(from, to)
			f.shiftBuckets[name] = f.shiftBucket()
			f.shiftMeters[name] = &shiftMeter{
				rate:  f.deployment.shiftCap,
				burst: f.deployment.shiftCap,
				start: f.start,
				last:  f.start,
			}
		}
	}
}

func (f *fleet) shiftBucket() *bucket {
	return &bucket{
		rate:  f.deployment.shiftCap,
		burst: f.deployment.shiftCap,
		last:  f.start,
	}
}

func (f *fleet) buildServers() {
	for _, s := range f.deployment.services {
		service := s.name
		for i := range s.serverCount {
			m := objectstore.Machine{
				Name:    fmt.Sprintf("%s-%02d", service, i),
				Kind:    objectstore.BackendServer,
				Region:  f.deployment.regions[i%3],
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
				State:   objectstore.Live,
				Service: service,
				Slots:   4,
			}
			f.servers[m.Name] = &fakeServer{
				machine: m,
			}
			f.slotCapacity[backend.SlotLimitName(service, m.Region)] += m.Slots
		}
	}
}

func (f *fleet) newEntryHost(name, region string) *entryHost {
	clock := func() time.Time { return f.now }
	e := &entryHost{
		name:   name,
		region: region,
		router: &steer.Router{
			Clock:   clock,
			Region:  region,
			Limiter: f,
		},
		pool: &backend.Pool{
			Clock:  clock,
			Random: rand.New(rand.NewPCG(f.random.Uint64(), 0)),
		},
	}
	if !f.faults.noSlotLimits {
		e.pool.SlotLimiter = f
	}
	var machines []objectstore.Machine
	for _, s := range f.servers {
		machines = append(machines, s.machine)
	}
	e.pool.SetMachines(machines)
	e.router.SetTable(f.table)
	return e
}
