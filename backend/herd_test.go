package backend_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/objectstore"
)

const (
	herdHosts   = 7
	herdRun     = 60 * time.Second
	herdService = 40 * time.Millisecond
	herdLoad    = 0.6
	// reportDelay is how old the load reports are when they arrive.
	reportDelay = 500 * time.Millisecond
)

// chooser picks a server for a request of a host.
type chooser func(host int) (server string, done func(backend.Outcome))

// herd is one service of one region under the requests of all hosts.
type herd struct {
	clock    clock
	random   *rand.Rand
	machines []objectstore.Machine
	running  map[string]int
	reports  map[string]int
	pools    []*backend.Pool
	ends     ends
	// sent and shed count the requests, and those that met a full server.
	sent int
	shed int
	// failing is a server that fails requests and whose probes look best.
	failing string
	failed  int
}

// end is when a request on a server ends.
type end struct {
	at     time.Time
	server string
	done   func(backend.Outcome)
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push appends an end.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop removes the last.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newHerd(servers []objectstore.Machine, seed uint64, homes bool) *herd {
	h := &herd{
		clock: clock{
			now: time.Unix(1_000_000, 0),
		},
		random:   rand.New(rand.NewPCG(seed, 1)),
		machines: servers,
		running:  make(map[string]int),
		reports:  make(map[string]int),
	}
	var hosts []string
	for i := range herdHosts {
		hosts = append(hosts, fmt.Sprintf("entry-%d", i))
	}
	for i := range herdHosts {
		p := &backend.Pool{
			Clock:  h.clock.read,
			Random: rand.New(rand.NewPCG(seed, uint64(i+2))),
		}
		p.SetMachines(servers)
		if homes {
			p.SetHosts(hosts[i], hosts)
		}
		h.pools = append(h.pools, p)
	}
	return h
}

// byPool is the product's choice.
func (h *herd) byPool(host int) (string, func(backend.Outcome)) {
	r, err := h.pools[host].Reserve("storefront", "accra")
	if err != nil {
		return "", nil
	}
	return r.Server, func(o backend.Outcome) { h.pools[host].Release(r, o) }
}

// byReport is the baseline: the least load in the last report.
func (h *herd) byReport(int) (string, func(backend.Outcome)) {
	best := h.machines[h.random.IntN(len(h.machines))].Name
	for _, m := range h.machines {
		if h.reports[m.Name] < h.reports[best] {
			best = m.Name
		}
	}
	return best, func(backend.Outcome) {}
}

// atRandom is a second baseline.
func (h *herd) atRandom(int) (string, func(backend.Outcome)) {
	return h.machines[h.random.IntN(len(h.machines))].Name, func(backend.Outcome) {}
}

func (h *herd) run(choose chooser) {
	rate := herdLoad * float64(4*len(h.machines)) / herdService.Seconds()
	finish := h.clock.now.Add(herdRun)
	report := h.clock.now
	for h.clock.now.Before(finish) {
		h.clock.pass(time.Duration(h.random.ExpFloat64() / rate * float64(time.Second)))
		for len(h.ends) > 0 && h.ends[0].at.Before(h.clock.now) {
			e := heap.Pop(&h.ends).(end)
			h.running[e.server]--
			e.done(backend.Responded{})
		}
		if h.clock.now.After(report) {
			report = report.Add(backend.ProbeInterval)
			h.probe()
		}
		h.request(choose)
	}
}

// probe takes reports, which arrive late.
func (h *herd) probe() {
	taken := h.clock.now.Add(-reportDelay)
	for _, m := range h.machines {
		h.reports[m.Name] = h.running[m.Name]
		for _, p := range h.pools {
			p.RecordProbe(backend.Probe{
				Server:  m.Name,
				SentAt:  taken,
				Running: h.running[m.Name],
			})
		}
	}
}

func (h *herd) request(choose chooser) {
	h.sent++
	server, done := choose(h.random.IntN(herdHosts))
	switch {
	case done == nil:
		h.shed++
	case server == h.failing:
		h.failed++
		done(backend.Failed{})
	case h.running[server] >= 4:
		h.shed++
		done(backend.Rejected{})
	default:
		h.running[server]++
		service := time.Duration((0.5 + h.random.Float64()) * float64(herdService))
		heap.Push(&h.ends, end{
			at:     h.clock.now.Add(service),
			server: server,
			done:   done,
		})
	}
}

// TestHostsDoNotHerd compares the choices under the same traffic.
func TestHostsDoNotHerd(t *testing.T) {
	t.Log("requests that met a full server, of all")
	t.Log("servers  seed  homes   sample  random  least reported")
	for _, count := range []int{4, 8, 24} {
		for seed := uint64(1); seed <= 2; seed++ {
			machines := servers("storefront", "accra", count)
			pool, random, report := newHerd(machines, seed, true), newHerd(machines, seed, false), newHerd(machines, seed, false)
			sample := newHerd(machines, seed, false)
			pool.run(pool.byPool)
			sample.run(sample.byPool)
			random.run(random.atRandom)
			report.run(report.byReport)
			t.Logf("%7d  %4d  %.4f  %.4f  %.4f  %.4f", count, seed, pool.shedPart(), sample.shedPart(), random.shedPart(), report.shedPart())
			require.Less(t, pool.shedPart(), sample.shedPart())
			require.Less(t, sample.shedPart(), random.shedPart())
			require.Less(t, random.shedPart(), report.shedPart())
			for _, p := range pool.pools {
				require.Zero(t, p.ViolationCount())
			}
		}
	}
}

func (h *herd) shedPart() float64 { return float64(h.shed) / float64(h.sent) }

// TestMisleadingHealthIsOutweighed has a server that fails all requests while
// its health endpoint says that it is idle.
func TestMisleadingHealthIsOutweighed(t *testing.T) {
	machines := servers("storefront", "accra", 8)
	pool, report := newHerd(machines, 1, true), newHerd(machines, 1, false)
	pool.failing, report.failing = machines[0].Name, machines[0].Name
	pool.run(pool.byPool)
	report.run(report.byReport)
	t.Logf("failed: pool %d, least reported %d, of %d", pool.failed, report.failed, pool.sent)
	require.Less(t, pool.failed*10, report.failed)
}
