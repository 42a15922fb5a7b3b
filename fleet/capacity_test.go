package fleet_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/standin/store"
)

const (
	// httpOverheadBytes is the number of bytes that HTTP adds to a message,
	// rounded up. BenchmarkPollAndReply in package peer measures it.
	httpOverheadBytes = 60
	// maxControlBytesPerSecond is the limit for the messages that a host sends and
	// receives.
	maxControlBytesPerSecond = 16_000
	// maxRejectedFraction is the fraction of keyed requests that may be rejected
	// while the store is down for an hour.
	maxRejectedFraction = 0.01
	// maxStoreReadsPerSecond is the platform's limit for reads of the store.
	maxStoreReadsPerSecond = 2000
)

// bytesByHost counts the bytes that each host sends and receives.
type bytesByHost map[*host]int

func (sim *simulation) countTraffic() bytesByHost {
	counts := make(bytesByHost)
	sim.onSend = func(from, to *host, message fleet.Message) {
		body, err := fleet.Encode(message)
		require.NoError(sim.t, err)
		size := len(body) + httpOverheadBytes
		counts[from] += size
		counts[to] += size
	}
	return counts
}

// perSecond returns the mean over all hosts, and the highest, of bytes per
// second.
func (c bytesByHost) perSecond(span time.Duration) (mean, highest float64) {
	total := 0
	for _, bytes := range c {
		total += bytes
		highest = max(highest, float64(bytes)/span.Seconds())
	}
	return float64(total) / span.Seconds() / float64(len(c)), highest
}

// maxStartupBytes is the limit for the bytes that a starting host sends and
// receives in its first 12 s: as much as control traffic may use in a minute.
const maxStartupBytes = 60 * maxControlBytesPerSecond

// TestLargestSupportedFleetStaysWithinLimits checks traffic, store reads,
// rejected requests and propagation times in a fleet of the largest supported
// size.
func TestLargestSupportedFleetStaysWithinLimits(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t, 4, maxHosts, maxZones, maxRegions)
	t.Run("control traffic without faults and during restarts", func(t *testing.T) { checkControlTraffic(t, sim) })
	t.Run("store outage for all hosts", func(t *testing.T) { checkStoreOutage(t, sim) })
	t.Run("propagation of changes", func(t *testing.T) { checkChangePropagation(t, sim) })
	for _, h := range sim.hosts {
		require.Zero(t, h.node.ViolationCount(), h.Name)
	}
}

// measureAgainstLimits advances the simulation and checks its store reads and
// control traffic against the limits.
func measureAgainstLimits(t *testing.T, sim *simulation, name string, span time.Duration) {
	counts, before := sim.countTraffic(), sim.storeCalls.Counts()
	sim.advance(span)
	sim.onSend = nil
	reads := float64(sim.storeCalls.Counts().Reads()-before.Reads()) / span.Seconds()
	mean, highest := counts.perSecond(span)
	t.Logf("%-20s store reads %.0f/s, control bytes sent and received per host: mean %.0f/s, highest %.0f/s", name, reads, mean, highest)
	require.Less(t, reads, float64(maxStoreReadsPerSecond), name)
	require.Less(t, highest, float64(maxControlBytesPerSecond), name)
}

// checkControlTraffic checks the control traffic without faults and while hosts
// restart. For comparison it logs the cost of two simpler designs: sending the
// records of all members in each message, and every host reading the store.
func checkControlTraffic(t *testing.T, sim *simulation) {
	const span = 12 * time.Second
	// Hosts request repairs more often in their first 30 s, part of which has
	// passed in newConvergedSimulation.
	sim.advance(15 * time.Second)
	measureAgainstLimits(t, sim, "without faults", 4*time.Second)
	counts := sim.countTraffic()
	for _, h := range sim.hosts[:3] {
		sim.startProcess(h, fleet.Settings{})
	}
	sim.advance(span)
	sim.onSend = nil
	for _, h := range sim.hosts[:3] {
		t.Logf("a restarted host sends and receives %d bytes in its first %s", counts[h], span)
		require.Less(t, counts[h], maxStartupBytes)
		delete(counts, h)
	}
	mean, highest := counts.perSecond(span)
	t.Logf("the other hosts meanwhile: mean %.0f bytes/s, highest %.0f bytes/s", mean, highest)
	require.Less(t, highest, float64(maxControlBytesPerSecond))
	allRecords, err := fleet.Encode(&fleet.RecordsReply{
		Records: sim.hosts[0].node.Members(),
	})
	require.NoError(t, err)
	t.Logf("for comparison: a message with the records of all members has %d bytes; with every host reading it the store gets %.0f reads/s",
		len(allRecords), readsIfEveryHostReads(t))
}

// readsIfEveryHostReads returns the store reads per second in the largest
// supported fleet if every host read the store. It is extrapolated from a small
// fleet in which every host is a store reader.
func readsIfEveryHostReads(t *testing.T) float64 {
	const hosts, span = 14, 10 * time.Second
	sim := newConvergedSimulation(t, 4, hosts, maxZones, maxRegions)
	before := sim.storeCalls.Counts()
	sim.advance(span)
	return float64(sim.storeCalls.Counts().Reads()-before.Reads()) / span.Seconds() / hosts * maxHosts
}

// checkStoreOutage takes the store down and up again, and checks that views
// remain usable meanwhile.
func checkStoreOutage(t *testing.T, sim *simulation) {
	const onset, steady = 12 * time.Second, 10 * time.Second
	w := newKeyWorkload(sim)
	w.advance(2 * time.Second)
	w.memory.SetFaults(store.Faults{
		Down: true,
	})
	measureAgainstLimits(t, sim, "the store goes down", onset)
	rejectedAtOnset := w.nodePolicy().rejected
	measureAgainstLimits(t, sim, "the store is down", steady)
	rejectedLater := w.nodePolicy().rejected - rejectedAtOnset
	w.memory.SetFaults(store.Faults{})
	measureAgainstLimits(t, sim, "the store is back", 6*time.Second)
	w.stopped = true
	w.report("650 hosts, store down")
	t.Logf("rejected in the first %s of the outage: %d, in the next %s: %d", onset, rejectedAtOnset, steady, rejectedLater)
	require.Zero(t, w.nodePolicy().admittedStale)
	rejectedPerHour := float64(rejectedAtOnset) + float64(rejectedLater)*float64(time.Hour-onset)/float64(steady)
	requestsPerHour := float64(maxHosts) * float64(time.Hour/requestInterval)
	t.Logf("rejected in an outage of an hour at this rate: %.3f%%", 100*rejectedPerHour/requestsPerHour)
	require.Less(t, rejectedPerHour/requestsPerHour, maxRejectedFraction)
}

// BenchmarkNode measures the cost of one host per second of simulated time:
// processor time, including JSON encoding and decoding, messages, bytes and
// memory.
func BenchmarkNode(b *testing.B) {
	sizes := []struct {
		name                  string
		hosts, zones, regions int
	}{
		{
			name:    "hosts=7",
			hosts:   7,
			zones:   6,
			regions: 3,
		},
		{
			name:    "hosts=70",
			hosts:   70,
			zones:   14,
			regions: 4,
		},
		{
			name:    "hosts=650",
			hosts:   maxHosts,
			zones:   maxZones,
			regions: maxRegions,
		},
	}
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			before := heapBytes()
			sim := newConvergedSimulation(b, 6, size.hosts, size.zones, size.regions)
			sim.advance(30 * time.Second)
			heapPerHost := float64(heapBytes()-before) / float64(size.hosts)
			counts := sim.countTraffic()
			calls := sim.storeCalls.Counts()
			began, start := sim.now(), time.Now()
			sent := 0
			countBytes := sim.onSend
			sim.onSend = func(from, to *host, message fleet.Message) {
				sent++
				countBytes(from, to, message)
			}
			for b.Loop() {
				sim.advance(time.Second)
			}
			span := sim.now() - began
			processorFraction := time.Since(start).Seconds() / span.Seconds() / float64(size.hosts)
			mean, highest := counts.perSecond(span)
			reads := sim.storeCalls.Counts().Reads() - calls.Reads()
			b.ReportMetric(100*processorFraction, "%core/host")
			b.ReportMetric(float64(sent)/span.Seconds()/float64(size.hosts), "messages/s/host")
			b.ReportMetric(mean, "bytes/s/host")
			b.ReportMetric(highest, "bytes/s/busiest")
			b.ReportMetric(heapPerHost, "heap-bytes/host")
			b.ReportMetric(float64(reads)/span.Seconds(), "store-reads/s")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCheckConfirmed measures the check that precedes each keyed request,
// without faults ("confirmed") and during a fleet-wide store outage
// ("outage").
func BenchmarkCheckConfirmed(b *testing.B) {
	sim := newConvergedSimulation(b, 7, 94, 2, 2)
	b.Run("confirmed", func(b *testing.B) { benchmarkCheckConfirmed(b, sim) })
	sim.memory.SetFaults(store.Faults{
		Down: true,
	})
	sim.advance(30 * time.Second)
	b.Run("outage", func(b *testing.B) { benchmarkCheckConfirmed(b, sim) })
}

func benchmarkCheckConfirmed(b *testing.B, sim *simulation) {
	for b.Loop() {
		require.NoError(b, sim.hosts[0].node.CheckConfirmed(keysFeed))
	}
}
