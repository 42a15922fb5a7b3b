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
	hostCount       = 7
	runTime         = 60 * time.Second
	meanServiceTime = 40 * time.Millisecond
	utilization     = 0.6
	// reportDelay is the age of a load report when it arrives.
	reportDelay = 500 * time.Millisecond
)

// chooser picks a server for a request from a host. A nil done means that none is free.
type chooser func(host int) (server string, done func(backend.Outcome))

// simulation runs the requests of all entry hosts to one service in one region.
type simulation struct {
	clock       clock
	random      *rand.Rand
	machines    []objectstore.Machine
	running     map[string]int
	reports     map[string]int
	pools       []*backend.Pool
	completions completionHeap
	// sent counts all requests.
	sent int
	// rejected counts the requests for which no server was chosen or the chosen
	// server was full.
	rejected int
	// failing is a server that fails all its requests and therefore reports that it is
	// idle.
	failing string
	failed  int
}

// completion is the end of a request on a server.
type completion struct {
	endsAt time.Time
	server string
	done   func(backend.Outcome)
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a completion.
func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

// Pop removes and returns the last completion.
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(servers []objectstore.Machine, seed uint64, assignSlots bool) *simulation {
	s := &simulation{
		clock: clock{
			now: time.Unix(1_000_000, 0),
		},
		random:   rand.New(rand.NewPCG(seed, 1)),
		machines: servers,
		running:  make(map[string]int),
		reports:  make(map[string]int),
	}
	var hosts []string
	for i := range hostCount {
		hosts = append(hosts, fmt.Sprintf("entry-%d", i))
	}
	for i := range hostCount {
		p := &backend.Pool{
			Clock:  s.clock.read,
			Random: rand.New(rand.NewPCG(seed, uint64(i+2))),
		}
		p.SetMachines(servers)
		if assignSlots {
			p.SetHosts(hosts[i], hosts)
		}
		s.pools = append(s.pools, p)
	}
	return s
}

// chooseFromPool lets the host's pool choose.
func (s *simulation) chooseFromPool(host int) (string, func(backend.Outcome)) {
	reservation, err := s.pools[host].Reserve("storefront", "accra")
	if err != nil {
		return "", nil
	}
	return reservation.Server, func(o backend.Outcome) { s.pools[host].Release(reservation, o) }
}

// chooseLeastReported is a baseline that chooses the server with the least load in the
// last report.
func (s *simulation) chooseLeastReported(int) (string, func(backend.Outcome)) {
	best := s.machines[s.random.IntN(len(s.machines))].Name
	for _, m := range s.machines {
		if s.reports[m.Name] < s.reports[best] {
			best = m.Name
		}
	}
	return best, func(backend.Outcome) {}
}

// chooseRandom is a baseline that chooses a random server.
func (s *simulation) chooseRandom(int) (string, func(backend.Outcome)) {
	return s.machines[s.random.IntN(len(s.machines))].Name, func(backend.Outcome) {}
}

func (s *simulation) run(choose chooser) {
	rate := utilization * float64(4*len(s.machines)) / meanServiceTime.Seconds()
	endTime := s.clock.now.Add(runTime)
	nextReport := s.clock.now
	for s.clock.now.Before(endTime) {
		s.clock.advance(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		for len(s.completions) > 0 && s.completions[0].endsAt.Before(s.clock.now) {
			c := heap.Pop(&s.completions).(completion)
			s.running[c.server]--
			c.done(backend.Responded{})
		}
		if s.clock.now.After(nextReport) {
			nextReport = nextReport.Add(backend.ProbeInterval)
			s.updateReports()
		}
		s.simulateRequest(choose)
	}
}

// updateReports updates the load reports and sends each pool probes that are reportDelay old.
func (s *simulation) updateReports() {
	sentAt := s.clock.now.Add(-reportDelay)
	for _, m := range s.machines {
		s.reports[m.Name] = s.running[m.Name]
		for _, p := range s.pools {
			p.RecordProbe(backend.Probe{
				Server:  m.Name,
				SentAt:  sentAt,
				Running: s.running[m.Name],
			})
		}
	}
}

// simulateRequest sends one request from a random host.
func (s *simulation) simulateRequest(choose chooser) {
	s.sent++
	server, done := choose(s.random.IntN(hostCount))
	switch {
	case done == nil:
		s.rejected++
	case server == s.failing:
		s.failed++
		done(backend.Failed{})
	case s.running[server] >= 4:
		s.rejected++
		done(backend.Rejected{})
	default:
		s.running[server]++
		serviceTime := time.Duration((0.5 + s.random.Float64()) * float64(meanServiceTime))
		heap.Push(&s.completions, completion{
			endsAt: s.clock.now.Add(serviceTime),
			server: server,
			done:   done,
		})
	}
}

// TestAssignedSlotsAndSamplingAvoidHerding checks that hosts do not send their
// requests to the same servers at the same time. Under the same traffic, choice
// by assigned slots must meet full servers less often than sampling alone,
// sampling less often than random choice, and random choice less often than
// choice by reported load.
func TestAssignedSlotsAndSamplingAvoidHerding(t *testing.T) {
	t.Log("share of requests that found no free slot")
	t.Log("servers  seed  assigned  sample  random  least reported")
	for _, count := range []int{4, 8, 24} {
		for seed := uint64(1); seed <= 2; seed++ {
			machines := servers("storefront", "accra", count)
			assigned, random, leastReported := newSimulation(machines, seed, true), newSimulation(machines, seed, false), newSimulation(machines, seed, false)
			sample := newSimulation(machines, seed, false)
			assigned.run(assigned.chooseFromPool)
			sample.run(sample.chooseFromPool)
			random.run(random.chooseRandom)
			leastReported.run(leastReported.chooseLeastReported)
			t.Logf("%7d  %4d  %.4f    %.4f  %.4f  %.4f", count, seed, assigned.rejectedShare(), sample.rejectedShare(), random.rejectedShare(), leastReported.rejectedShare())
			require.Less(t, assigned.rejectedShare(), sample.rejectedShare())
			require.Less(t, sample.rejectedShare(), random.rejectedShare())
			require.Less(t, random.rejectedShare(), leastReported.rejectedShare())
			for _, p := range assigned.pools {
				require.Zero(t, p.ViolationCount())
			}
		}
	}
}

func (s *simulation) rejectedShare() float64 { return float64(s.rejected) / float64(s.sent) }

// TestFailingServerIsEjectedDespiteIdleHealth checks that few requests go to a
// server that fails all requests while its health endpoint reports that it is
// idle.
func TestFailingServerIsEjectedDespiteIdleHealth(t *testing.T) {
	machines := servers("storefront", "accra", 8)
	pool, report := newSimulation(machines, 1, true), newSimulation(machines, 1, false)
	pool.failing, report.failing = machines[0].Name, machines[0].Name
	pool.run(pool.chooseFromPool)
	report.run(report.chooseLeastReported)
	t.Logf("failed: pool %d, least reported %d, of %d", pool.failed, report.failed, pool.sent)
	require.Less(t, pool.failed*10, report.failed)
}
