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
	warmService = 40 * time.Millisecond
	coldFactor  = 4
	linkDelay   = 55 * time.Millisecond
	zoneDelay   = time.Millisecond
	tick        = time.Second
	points      = 6000
)

// user is a deployment of today's size.
type user struct {
	name     string
	regions  []string
	services []service
	shiftCap float64
}

var users = []user{
	{
		name:    "chalkline",
		regions: []string{"accra", "kumasi", "tamale"},
		services: []service{
			{
				name:    "storefront",
				servers: 24,
			},
			{
				name:    "packhouse",
				servers: 14,
			},
		},
		shiftCap: 15,
	},
	{
		name:    "vargas",
		regions: []string{"cartago", "limon", "puntarenas"},
		services: []service{
			{
				name:    "mostrador",
				servers: 20,
			},
			{
				name:    "bodega",
				servers: 12,
			},
		},
		shiftCap: 10,
	},
}

// service is a service and its number of servers.
type service struct {
	name    string
	servers int
}

// bucket is a token bucket.
type bucket struct {
	rate  float64
	burst float64
	used  float64
	last  time.Time
}

func (b *bucket) leak(now time.Time) {
	b.used = max(0, b.used-b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

// faults are what goes wrong in a run.
type faults struct {
	// stopped is when measurements stop, and back when they return.
	stopped, back time.Duration
	// wrong makes the reported rates and running requests a tenth.
	wrong bool
	// lag is how late reports and probes arrive.
	lag time.Duration
	// late is how late one host gets each plan.
	late time.Duration
	// replaced is when a host is replaced by a new one.
	replaced time.Duration
	// lost is when the first region dies, returned when it is back.
	lost, returned time.Duration
	// drained is when the first region is drained.
	drained time.Duration
	// leaving is when one server of each region begins to leave.
	leaving time.Duration

	// start is when the traffic starts.
	start time.Duration

	// The mechanisms taken out, for the baselines.
	noLocal, noTokens, noPlan, noSlots, noShed bool
}

// fleet is a user's hosts and servers in simulated time.
type fleet struct {
	user    user
	faults  faults
	start   time.Time
	now     time.Time
	random  *rand.Rand
	events  events
	table   table.Table
	plan    steer.Plan
	entries []*entry
	servers map[string]*fakeServer
	tokens  map[string]*bucket
	slots   map[string]int

	// What the oracle saw.
	meters      map[string]*meter
	homes       map[origin]string
	places      map[origin]string
	running     map[string]int
	capacity    map[string]int
	overSlots   int
	toLeaving   int
	sentLate    int
	violations  int
	lastSent    time.Duration
	sent        map[string]int
	answered    map[string]int
	refused     map[string]int
	steps       int
	warm        map[cache]bool
	reached     bool
	latencies   []time.Duration
	crossed     int
	lastRefused time.Duration
}

// entry is an entry host.
type entry struct {
	name   string
	region string
	router *steer.Router
	pool   *backend.Pool
	report steer.Report
}

// origin is a point of a route at the entry hosts of a region.
type origin struct {
	region string
	route  string
	point  steer.RequestHash
}

// cache is what a region has in its cache.
type cache struct {
	origin origin
	region string
}

// fakeServer is a backend server.
type fakeServer struct {
	machine      objectstore.Machine
	running      int
	dead         bool
	leavingSince time.Time
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	act   func()
}

type events struct {
	list  []event
	count int
}

func (e *events) Len() int { return len(e.list) }

func (e *events) Less(i, j int) bool {
	if e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].order < e.list[j].order
	}
	return e.list[i].at.Before(e.list[j].at)
}

func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

func (e *events) Push(x any) { e.list = append(e.list, x.(event)) }

func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (f *fleet) after(d time.Duration, act func()) {
	f.events.count++
	heap.Push(&f.events, event{
		at:    f.now.Add(d),
		order: f.events.count,
		act:   act,
	})
}

func (f *fleet) run(length time.Duration) {
	f.after(0, f.tick)
	for _, route := range f.table.Routes {
		f.after(f.faults.start, func() { f.arrive(route) })
	}
	end := f.start.Add(length)
	for !f.reached && f.events.list[0].at.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.act()
	}
	for _, e := range f.entries {
		f.violations += e.router.Violations() + e.pool.ViolationCount()
	}
}

func (f *fleet) age() time.Duration { return f.now.Sub(f.start) }

// Take grants tokens of the fleet-wide limits.
func (f *fleet) Take(name string, count float64) steer.TakeResult {
	b := f.tokens[name]
	if b == nil || f.faults.noTokens {
		return steer.Granted{}
	}
	b.leak(f.now)
	if b.used+count > b.burst {
		return steer.Denied{}
	}
	b.used += count
	return steer.Granted{}
}

// Acquire takes a slot of the region.
func (f *fleet) Acquire(service, region string) bool {
	name := backend.SlotLimitName(service, region)
	if f.slots[name] >= f.capacity[name] {
		return false
	}
	f.slots[name]++
	return true
}

// Release gives it back.
func (f *fleet) Release(service, region string) {
	f.slots[backend.SlotLimitName(service, region)]--
}

func newFleet(u user, seed uint64, faults faults) *fleet {
	f := &fleet{
		user:     u,
		faults:   faults,
		start:    time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(seed, 0)),
		servers:  make(map[string]*fakeServer),
		tokens:   make(map[string]*bucket),
		slots:    make(map[string]int),
		meters:   make(map[string]*meter),
		homes:    make(map[origin]string),
		places:   make(map[origin]string),
		running:  make(map[string]int),
		capacity: make(map[string]int),
		sent:     make(map[string]int),
		answered: make(map[string]int),
		refused:  make(map[string]int),
		warm:     make(map[cache]bool),
	}
	f.now = f.start
	f.buildTable()
	f.buildServers()
	for i := range 7 {
		f.entries = append(f.entries, f.newEntry(fmt.Sprintf("entry-%d", i), u.regions[i%3]))
	}
	f.plan, _ = steer.NextPlan(f.plan, f.table, f.expected(), f.now)
	for _, e := range f.entries {
		e.router.SetPlan(f.plan)
	}
	f.settleHomes()
	return f
}

// expected returns the reports of hosts that have had their traffic.
func (f *fleet) expected() steer.Measurements {
	var m steer.Measurements
	for _, e := range f.entries {
		report := steer.Report{
			Host:       e.name,
			Region:     e.region,
			MeasuredAt: f.now,
		}
		for _, s := range f.user.services {
			report.Routes = append(report.Routes, steer.RouteRate{
				Route: s.name,
				Rate:  f.rate(s.name) / float64(len(f.entries)),
			})
		}
		m.Hosts = append(m.Hosts, e.name)
		m.Reports = append(m.Reports, report)
	}
	return m
}

func (f *fleet) buildTable() {
	f.table.Version = 1
	for _, region := range f.user.regions {
		if !f.faults.noLocal {
			f.table.Regions = append(f.table.Regions, table.Region{
				Name: region,
			})
		}
	}
	for _, s := range f.user.services {
		f.table.Routes = append(f.table.Routes, table.Route{
			Name:    s.name,
			Service: s.name,
			Weights: []table.Weight{
				{
					Region: f.user.regions[0],
					Weight: 0.4,
				},
				{
					Region: f.user.regions[1],
					Weight: 0.3,
				},
				{
					Region: f.user.regions[2],
					Weight: 0.3,
				},
			},
		})
	}
	if f.faults.drained > 0 {
		f.table.Drains = append(f.table.Drains, table.Drain{
			Region: f.user.regions[0],
			Start:  f.start.Add(f.faults.drained),
			End:    f.start.Add(time.Hour),
		})
	}
	for _, from := range f.user.regions {
		for _, to := range f.user.regions {
			if from == to {
				continue
			}
			f.table.Links = append(f.table.Links, table.Link{
				From:         from,
				To:           to,
				Rate:         1000,
				Burst:        200,
				MaxShiftRate: f.user.shiftCap,
			})
			name := steer.ShiftLimitName(from, to)
			f.tokens[name] = f.shiftBucket()
			f.meters[name] = &meter{
				rate:  f.user.shiftCap,
				burst: f.user.shiftCap,
				start: f.start,
				last:  f.start,
			}
		}
	}
}

func (f *fleet) shiftBucket() *bucket {
	return &bucket{
		rate:  f.user.shiftCap,
		burst: f.user.shiftCap,
		last:  f.start,
	}
}

func (f *fleet) buildServers() {
	for _, x := range f.user.services {
		service := x.name
		for i := range x.servers {
			m := objectstore.Machine{
				Name:    fmt.Sprintf("%s-%02d", service, i),
				Kind:    objectstore.BackendServer,
				Region:  f.user.regions[i%3],
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
				State:   objectstore.Live,
				Service: service,
				Slots:   4,
			}
			f.servers[m.Name] = &fakeServer{
				machine: m,
			}
			f.capacity[backend.SlotLimitName(service, m.Region)] += m.Slots
		}
	}
}

func (f *fleet) newEntry(name, region string) *entry {
	clock := func() time.Time { return f.now }
	e := &entry{
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
	if !f.faults.noSlots {
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
