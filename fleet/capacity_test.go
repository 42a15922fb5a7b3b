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
	// httpOverhead is the bytes of HTTP around one message, rounded up; see
	// BenchmarkExchange of package peer.
	httpOverhead = 60
	// controlBytes is what a host may spend on control per second.
	controlBytes = 16_000
	// wronglyRefused is the part of requests that may be refused while the store
	// is down for an hour.
	wronglyRefused = 0.01
	// storeReads is what the platform takes per second.
	storeReads = 2000
)

// traffic counts the bytes of each host, in and out.
type traffic map[*host]int

func (w *world) countTraffic() traffic {
	counts := make(traffic)
	w.watched = func(from, to *host, message fleet.Message) {
		body, err := fleet.Encode(message)
		require.NoError(w.t, err)
		size := len(body) + httpOverhead
		counts[from] += size
		counts[to] += size
	}
	return counts
}

// perSecond returns the mean and the highest bytes per second of a host.
func (c traffic) perSecond(span time.Duration) (mean, highest float64) {
	total := 0
	for _, bytes := range c {
		total += bytes
		highest = max(highest, float64(bytes)/span.Seconds())
	}
	return float64(total) / span.Seconds() / float64(len(c)), highest
}

// bytesToStart is what a starting host may move until it is settled: a minute's
// worth of control.
const bytesToStart = 60 * controlBytes

// TestAtDesignSize runs the fleet at the size to design for.
func TestAtDesignSize(t *testing.T) {
	t.Parallel()
	w := settled(t, 4, manyHosts, manyZones, manyRegions)
	t.Run("control at rest and with restarts", func(t *testing.T) { controlInBudget(t, w) })
	t.Run("the store is down for all", func(t *testing.T) { viewsStand(t, w) })
	t.Run("a change is in force everywhere", func(t *testing.T) { changeInForce(t, w) })
	for _, h := range w.hosts {
		require.Zero(t, h.node.ViolationCount(), h.Name)
	}
}

// measure holds what a stretch of the fleet's life costs against the targets.
func measure(t *testing.T, w *world, name string, span time.Duration) {
	counts, before := w.countTraffic(), w.calls.Counts()
	w.run(span)
	w.watched = nil
	reads := float64(w.calls.Counts().Reads()-before.Reads()) / span.Seconds()
	mean, highest := counts.perSecond(span)
	t.Logf("%-20s store reads %.0f/s, control bytes in and out per host: mean %.0f/s, highest %.0f/s", name, reads, mean, highest)
	require.Less(t, reads, float64(storeReads), name)
	require.Less(t, highest, float64(controlBytes), name)
}

// controlInBudget measures the fleet at rest and while hosts restart, and gives
// the baselines.
func controlInBudget(t *testing.T, w *world) {
	const span = 12 * time.Second
	// Hosts repair more eagerly in their first half minute.
	w.run(15 * time.Second)
	measure(t, w, "at rest", 4*time.Second)
	counts := w.countTraffic()
	for _, h := range w.hosts[:3] {
		w.boot(h, fleet.Settings{})
	}
	w.run(span)
	w.watched = nil
	for _, h := range w.hosts[:3] {
		t.Logf("a host that restarts moves %d bytes in its first %s", counts[h], span)
		require.Less(t, counts[h], bytesToStart)
		delete(counts, h)
	}
	mean, highest := counts.perSecond(span)
	t.Logf("the other hosts meanwhile: mean %.0f/s, highest %.0f/s", mean, highest)
	require.Less(t, highest, float64(controlBytes))
	digest, err := fleet.Encode(&fleet.RecordsReply{
		Records: w.hosts[0].node.Members(),
	})
	require.NoError(t, err)
	t.Logf("baselines: a digest of all members is %d bytes a message; every host reading the store is %.0f reads/s",
		len(digest), readsWithoutReaders(t))
}

// readsWithoutReaders returns the store's reads per second if every host of the
// size to design for reads it, from the reads of each host of a small fleet.
func readsWithoutReaders(t *testing.T) float64 {
	const hosts, span = 14, 10 * time.Second
	w := settled(t, 4, hosts, manyZones, manyRegions)
	before := w.calls.Counts()
	w.run(span)
	return float64(w.calls.Counts().Reads()-before.Reads()) / span.Seconds() / hosts * manyHosts
}

// viewsStand takes the store from the fleet and gives it back.
func viewsStand(t *testing.T, w *world) {
	const onset, steady = 12 * time.Second, 10 * time.Second
	r := newTrial(w)
	r.run(2 * time.Second)
	r.memory.SetFaults(store.Faults{
		Down: true,
	})
	measure(t, w, "the store goes down", onset)
	begun := r.own().refused
	measure(t, w, "the store is down", steady)
	later := r.own().refused - begun
	r.memory.SetFaults(store.Faults{})
	measure(t, w, "the store is back", 6*time.Second)
	r.over = true
	r.report("650 hosts, store down")
	t.Logf("refused in the first %s of the outage %d, in the next %s %d", onset, begun, steady, later)
	require.Zero(t, r.own().stale)
	hour := float64(begun) + float64(later)*float64(time.Hour-onset)/float64(steady)
	requests := float64(manyHosts) * float64(time.Hour/requestStep)
	t.Logf("refused in an hour's outage at this rate: %.3f%%", 100*hour/requests)
	require.Less(t, hour/requests, wronglyRefused)
}

// BenchmarkNode gives one host's share of a second of the fleet's life: its
// processor time with JSON in both directions, messages, bytes and memory.
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
			hosts:   manyHosts,
			zones:   manyZones,
			regions: manyRegions,
		},
	}
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			before := heapBytes()
			w := settled(b, 6, size.hosts, size.zones, size.regions)
			w.run(30 * time.Second)
			held := float64(heapBytes()-before) / float64(size.hosts)
			counts := w.countTraffic()
			calls := w.calls.Counts()
			began, start := w.now(), time.Now()
			sent := 0
			counted := w.watched
			w.watched = func(from, to *host, message fleet.Message) {
				sent++
				counted(from, to, message)
			}
			for b.Loop() {
				w.run(time.Second)
			}
			span := w.now() - began
			spent := time.Since(start).Seconds() / span.Seconds() / float64(size.hosts)
			mean, highest := counts.perSecond(span)
			reads := w.calls.Counts().Reads() - calls.Reads()
			b.ReportMetric(100*spent, "%core/host")
			b.ReportMetric(float64(sent)/span.Seconds()/float64(size.hosts), "messages/s/host")
			b.ReportMetric(mean, "bytes/s/host")
			b.ReportMetric(highest, "bytes/s/busiest")
			b.ReportMetric(held, "heap-bytes/host")
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

// BenchmarkConfirmation gives the time of the check that each keyed request
// makes, at rest and while the view stands without the store.
func BenchmarkConfirmation(b *testing.B) {
	w := settled(b, 7, 94, 2, 2)
	b.Run("confirmed", func(b *testing.B) { confirm(b, w) })
	w.memory.SetFaults(store.Faults{
		Down: true,
	})
	w.run(30 * time.Second)
	b.Run("standing", func(b *testing.B) { confirm(b, w) })
}

func confirm(b *testing.B, w *world) {
	for b.Loop() {
		require.NoError(b, w.hosts[0].node.CheckConfirmed(keysFeed))
	}
}
