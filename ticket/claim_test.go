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

// roundTrip is the time to the store and back, or between hosts, from a host of
// the same region and from another.
var roundTrip = map[bool]time.Duration{
	true:  2 * time.Millisecond,
	false: 110 * time.Millisecond,
}

// farStore is the store as one host sees it.
type farStore struct {
	*store.Memory
	delay time.Duration
}

func (s farStore) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	time.Sleep(s.delay)
	return s.Memory.Put(ctx, key, value, condition)
}

func (s farStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	time.Sleep(s.delay)
	return s.Memory.Get(ctx, key)
}

func TestClaimedKeyRunsOnce(t *testing.T) {
	memory := &store.Memory{}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claims := &ticket.IdempotencyKeys{
		Store: memory,
		Clock: func() time.Time { return now },
	}
	memory.SetFaults(store.Faults{
		DropWriteReplies: 1,
	})
	decision, err := claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.IsType(t, &ticket.AdmittedByKey{}, decision, "the write took effect though its reply was lost")
	again, err := claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Running,
	}, again)
	claimed := decision.(*ticket.AdmittedByKey)
	require.NoError(t, claimed.RecordResult(t.Context(), ticket.NotRun))
	decision, err = claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.NoError(t, decision.(*ticket.AdmittedByKey).RecordResult(t.Context(), ticket.Responded))
	again, err = claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.Equal(t, ticket.Duplicate{
		Result: ticket.Responded,
	}, again)
	other, err := claims.Admit(t.Context(), "iglesia", "order-1")
	require.NoError(t, err)
	require.IsType(t, &ticket.AdmittedByKey{}, other)

	memory.SetFaults(store.Faults{
		Down: true,
	})
	_, err = claims.Admit(t.Context(), "escuela", "order-2")
	var unclear *ticket.KeyStateUnknownError
	require.ErrorAs(t, err, &unclear)
	_, err = claims.Admit(t.Context(), "escuela", "")
	var wrong *ticket.KeyLengthError
	require.ErrorAs(t, err, &wrong)

	memory.SetFaults(store.Faults{})
	now = now.Add(25 * time.Hour)
	swept, err := claims.DeleteClaimsOlderThan(t.Context(), 24*time.Hour)
	require.NoError(t, err)
	require.Equal(t, 2, swept)
}

// admitter is a way to admit a request that arrives at a host, under its own
// number; it reports whether to run it.
type admitter func(host, request int) bool

// comparison is what a way of admitting costs.
type comparison struct {
	Writes         int
	Median, P99    time.Duration
	Reruns         int
	Admitted       int
	AdmittedInDown int
}

// Sizes of the comparison: requests, the part of them that is sent again to
// another host, and the part during which the store is down.
const (
	compared   = 3000
	repeatEach = 10
	downFrom   = 1000
	downTo     = 2000
)

func compare(memory *store.Memory, random *rand.Rand, admit admitter) comparison {
	var c comparison
	var waits []time.Duration
	for request := range compared {
		isDown := request >= downFrom && request < downTo
		memory.SetFaults(store.Faults{
			Down: isDown,
		})
		host := request % hostCount
		if random.IntN(repeatEach) == 0 {
			// The first try's answer was lost; this one goes elsewhere.
			if admit(host, request) && admit((host+1)%hostCount, request) {
				c.Reruns++
			}
			continue
		}
		start := time.Now()
		if admit(host, request) {
			c.Admitted++
			if isDown {
				c.AdmittedInDown++
			}
		}
		waits = append(waits, time.Since(start))
	}
	slices.Sort(waits)
	c.Writes = countWrites(memory)
	c.Median, c.P99 = waits[len(waits)/2], waits[len(waits)*99/100]
	return c
}

// TestTicketsAgainstClaims runs the same requests through tickets, through a
// conditional create for each, and through neither, in virtual time.
func TestTicketsAgainstClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tickets := compare(&store.Memory{}, newRandom(), admitByTicket(t))
		memory := &store.Memory{}
		var settled sync.WaitGroup
		claims := compare(memory, newRandom(), admitByClaim(t, memory, &settled))
		settled.Wait()
		claims.Writes = countWrites(memory)
		neither := compare(&store.Memory{}, newRandom(), func(int, int) bool { return true })
		t.Logf("tickets: %+v", tickets)
		t.Logf("claims: %+v", claims)
		t.Logf("neither: %+v", neither)
		require.Zero(t, tickets.Reruns)
		require.Zero(t, claims.Reruns)
		require.Positive(t, neither.Reruns)
		require.Zero(t, tickets.Writes)
		require.Equal(t, neither.AdmittedInDown, tickets.AdmittedInDown)
		require.Zero(t, claims.AdmittedInDown)
	})
}

// countWrites counts the writes that the store was asked for.
func countWrites(memory *store.Memory) int {
	calls := memory.CallCounts()
	return int(calls.Put + calls.Delete)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// admitByTicket gives each request a name of the host that it goes to first.
func admitByTicket(t *testing.T) admitter {
	f := newFleet()
	names := make(map[int]string)
	for _, r := range f.registers {
		r.MaxTickets = compared
		r.Clock = time.Now
		r.Validity = time.Hour
	}
	return func(host, request int) bool {
		if _, found := names[request]; !found {
			names[request] = f.registers[host].Issue("", 1).Ticket(0)
		}
		name, err := ticket.Parse(names[request])
		require.NoError(t, err)
		decision := f.registers[host].Admit(name, "")
		if elsewhere, isElsewhere := decision.(ticket.IssuedElsewhere); isElsewhere {
			time.Sleep(roundTrip[false])
			issuer := slices.IndexFunc(f.registers, func(r *ticket.Registry) bool { return r.Host == elsewhere.Host })
			decision = f.registers[issuer].Admit(name, "")
		}
		_, isAdmitted := decision.(*ticket.AdmittedByTicket)
		return isAdmitted
	}
}

// admitByClaim has the store in the region of the first host.
func admitByClaim(t *testing.T, memory *store.Memory, settled *sync.WaitGroup) admitter {
	return func(host, request int) bool {
		claims := &ticket.IdempotencyKeys{
			Store: farStore{
				Memory: memory,
				delay:  roundTrip[host == 0],
			},
		}
		decision, err := claims.Admit(t.Context(), "", fmt.Sprint("order-", request))
		claimed, isClaimed := decision.(*ticket.AdmittedByKey)
		if err != nil || !isClaimed {
			return false
		}
		// The result is written while the answer is on its way.
		settled.Go(func() { _ = claimed.RecordResult(t.Context(), ticket.Responded) })
		return true
	}
}

// BenchmarkAdmit gives the time to admit a name and the memory that it takes
// until it expires.
func BenchmarkAdmit(b *testing.B) {
	r := newFleet().registers[0]
	r.MaxTickets = b.N + 1
	names := make([]ticket.Ticket, 0, b.N)
	for len(names) < b.N {
		issued := r.Issue("", 64)
		for number := range issued.Count {
			name, err := ticket.Parse(issued.Ticket(number))
			require.NoError(b, err)
			names = append(names, name)
		}
	}
	before := heapInUse()
	b.ResetTimer()
	for i := range b.N {
		r.Admit(names[i], "")
	}
	b.StopTimer()
	b.ReportMetric(float64(heapInUse()-before)/float64(b.N), "B/name")
	runtime.KeepAlive(r)
	runtime.KeepAlive(names)
}

func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkIssue(b *testing.B) {
	r := newFleet().registers[0]
	for b.Loop() {
		r.Issue("", 64)
	}
}
