package ticket_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/ticket"
)

// roundTripBySameRegion holds the round-trip times to the store or to another
// host: for true if both are in the same region, for false if they are not.
var roundTripBySameRegion = map[bool]time.Duration{
	true:  2 * time.Millisecond,
	false: 110 * time.Millisecond,
}

// delayedStore adds the round-trip time from one host to Put and Get.
type delayedStore struct {
	*store.Memory
	delay time.Duration
}

func (s delayedStore) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	time.Sleep(s.delay)
	return s.Memory.Put(ctx, key, value, condition)
}

func (s delayedStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	time.Sleep(s.delay)
	return s.Memory.Get(ctx, key)
}

// TestIdempotencyKeyIsAdmittedOnce covers lost replies of the store, results, a
// store that is down, invalid keys and the deletion of old keys.
func TestIdempotencyKeyIsAdmittedOnce(t *testing.T) {
	memory := &store.Memory{}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	keys := &ticket.IdempotencyKeys{
		Store: memory,
		Clock: func() time.Time { return now },
	}
	memory.SetFaults(store.Faults{
		DropWriteReplies: 1,
	})
	decision, err := keys.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.IsType(t, &ticket.AdmittedByKey{}, decision, "the create took effect although its reply was lost")
	again, err := keys.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Running,
	}, again)
	admitted := decision.(*ticket.AdmittedByKey)
	require.NoError(t, admitted.RecordResult(t.Context(), ticket.NotRun))
	decision, err = keys.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.NoError(t, decision.(*ticket.AdmittedByKey).RecordResult(t.Context(), ticket.Responded))
	again, err = keys.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Responded,
	}, again)
	other, err := keys.Admit(t.Context(), "iglesia", "order-1")
	require.NoError(t, err)
	require.IsType(t, &ticket.AdmittedByKey{}, other)

	memory.SetFaults(store.Faults{
		Down: true,
	})
	_, err = keys.Admit(t.Context(), "escuela", "order-2")
	var stateUnknown *ticket.KeyStateUnknownError
	require.ErrorAs(t, err, &stateUnknown)
	_, err = keys.Admit(t.Context(), "escuela", "")
	var invalidLength *ticket.KeyLengthError
	require.ErrorAs(t, err, &invalidLength)

	memory.SetFaults(store.Faults{})
	now = now.Add(25 * time.Hour)
	deleted, err := keys.DeleteClaimsOlderThan(t.Context(), 24*time.Hour)
	require.NoError(t, err)
	require.Equal(t, 2, deleted)
}

// admitFunc reports whether a host runs a request. The request is identified by
// its number.
type admitFunc func(host, request int) bool

// runStats holds what [runRequests] measured with one [admitFunc].
type runStats struct {
	// Writes counts the writes to the store.
	Writes int
	// Median and P99 are percentiles of the time that one admission takes.
	Median, P99 time.Duration
	// Reruns counts the requests that ran twice.
	Reruns int
	// Admitted counts the admitted requests that were not retried.
	Admitted int
	// AdmittedDuringOutage counts those of Admitted that were admitted while the
	// store was down.
	AdmittedDuringOutage int
}

const (
	// requestCount is the number of requests of one run.
	requestCount = 3000
	// One in retryOneIn requests is retried on another host.
	retryOneIn = 10
	// The store is down from request outageStart until before request outageEnd.
	outageStart = 1000
	outageEnd   = 2000
)

// runRequests sends the requests of one run to the hosts in turn.
func runRequests(memory *store.Memory, random *rand.Rand, admit admitFunc) runStats {
	var stats runStats
	var latencies []time.Duration
	for request := range requestCount {
		isDown := request >= outageStart && request < outageEnd
		memory.SetFaults(store.Faults{
			Down: isDown,
		})
		host := request % hostCount
		if random.IntN(retryOneIn) == 0 {
			// The response of the first attempt was lost; the retry goes to another host.
			if admit(host, request) && admit((host+1)%hostCount, request) {
				stats.Reruns++
			}
			continue
		}
		start := time.Now()
		if admit(host, request) {
			stats.Admitted++
			if isDown {
				stats.AdmittedDuringOutage++
			}
		}
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	stats.Writes = countWrites(memory)
	stats.Median, stats.P99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return stats
}

// TestTicketsNeedNoStoreUnlikeIdempotencyKeys admits the same requests, some of
// them retried, by tickets, by idempotency keys and without any check, in virtual
// time. Tickets and keys must let no request run twice. Tickets must cost no write
// and keep admitting while the store is down; keys admit nothing then.
func TestTicketsNeedNoStoreUnlikeIdempotencyKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tickets := runRequests(&store.Memory{}, newRandom(), admitByTicket(t))
		memory := &store.Memory{}
		var recording sync.WaitGroup
		keys := runRequests(memory, newRandom(), admitByKey(t, memory, &recording))
		recording.Wait()
		keys.Writes = countWrites(memory)
		unchecked := runRequests(&store.Memory{}, newRandom(), func(int, int) bool { return true })
		t.Logf("tickets: %+v", tickets)
		t.Logf("idempotency keys: %+v", keys)
		t.Logf("no check: %+v", unchecked)
		require.Zero(t, tickets.Reruns)
		require.Zero(t, keys.Reruns)
		require.Positive(t, unchecked.Reruns)
		require.Zero(t, tickets.Writes)
		require.Equal(t, unchecked.AdmittedDuringOutage, tickets.AdmittedDuringOutage)
		require.Zero(t, keys.AdmittedDuringOutage)
	})
}

// countWrites returns the number of writes that were sent to the store.
func countWrites(memory *store.Memory) int {
	calls := memory.CallCounts()
	return int(calls.Put + calls.Delete)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// admitByTicket admits each request by a ticket that was issued by the first host
// that the request is sent to.
func admitByTicket(t *testing.T) admitFunc {
	f := newFleet()
	tickets := make(map[int]string)
	for _, r := range f.registries {
		r.MaxTickets = requestCount
		r.Clock = time.Now
		r.Validity = time.Hour
	}
	return func(host, request int) bool {
		if _, found := tickets[request]; !found {
			tickets[request] = f.registries[host].Issue("", 1).Ticket(0)
		}
		parsed, err := ticket.Parse(tickets[request])
		require.NoError(t, err)
		decision := f.registries[host].Admit(parsed, "")
		if elsewhere, isElsewhere := decision.(ticket.IssuedElsewhere); isElsewhere {
			time.Sleep(roundTripBySameRegion[false])
			issuer := slices.IndexFunc(f.registries, func(r *ticket.Registry) bool { return r.Host == elsewhere.Host })
			decision = f.registries[issuer].Admit(parsed, "")
		}
		_, isAdmitted := decision.(*ticket.AdmittedByTicket)
		return isAdmitted
	}
}

// admitByKey admits each request by an idempotency key. The store is in the region
// of the first host.
func admitByKey(t *testing.T, memory *store.Memory, recording *sync.WaitGroup) admitFunc {
	return func(host, request int) bool {
		keys := &ticket.IdempotencyKeys{
			Store: delayedStore{
				Memory: memory,
				delay:  roundTripBySameRegion[host == 0],
			},
		}
		decision, err := keys.Admit(t.Context(), "", fmt.Sprint("order-", request))
		admitted, isAdmitted := decision.(*ticket.AdmittedByKey)
		if err != nil || !isAdmitted {
			return false
		}
		// The result is written concurrently with the response.
		recording.Go(func() { _ = admitted.RecordResult(t.Context(), ticket.Responded) })
		return true
	}
}

// BenchmarkAdmit measures the time to admit a ticket and the memory that the
// ticket takes until it expires.
func BenchmarkAdmit(b *testing.B) {
	r := newFleet().registries[0]
	r.MaxTickets = b.N + 1
	tickets := make([]ticket.Ticket, 0, b.N)
	for len(tickets) < b.N {
		issued := r.Issue("", 64)
		for number := range issued.Count {
			parsed, err := ticket.Parse(issued.Ticket(number))
			require.NoError(b, err)
			tickets = append(tickets, parsed)
		}
	}
	before := heapInUse()
	b.ResetTimer()
	for i := range b.N {
		r.Admit(tickets[i], "")
	}
	b.StopTimer()
	b.ReportMetric(float64(heapInUse()-before)/float64(b.N), "B/ticket")
	runtime.KeepAlive(r)
	runtime.KeepAlive(tickets)
}

func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkIssue(b *testing.B) {
	r := newFleet().registries[0]
	for b.Loop() {
		r.Issue("", 64)
	}
}
