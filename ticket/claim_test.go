package ticket_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/ticket"
)

// roundTrip is the time to the store and back, or between hosts, from a host of
// the same region and from another.
var roundTrip = map[bool]time.Duration{
	true:  2 * time.Millisecond,
	false: 110 * time.Millisecond,
}

// memoryStore is a store in memory that can be down and lose replies.
type memoryStore struct {
	mu       sync.Mutex
	objects  map[string]platform.Object
	version  platform.Version
	writes   int
	isDown   bool
	loseNext bool
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return platform.Object{}, &platform.UnreachedError{
			Key: key,
		}
	}
	object, found := s.objects[key]
	if !found {
		return platform.Object{}, &platform.NotFoundError{
			Key: key,
		}
	}
	return object, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, condition platform.Condition) (platform.Version, error) {
	return s.change(key, condition, func() {
		s.objects[key] = platform.Object{
			Key:     key,
			Value:   value,
			Version: s.version,
		}
	})
}

func (s *memoryStore) Delete(_ context.Context, key string, condition platform.Condition) error {
	_, err := s.change(key, condition, func() { delete(s.objects, key) })
	return err
}

func (s *memoryStore) change(key string, condition platform.Condition, apply func()) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return 0, &platform.UnreachedError{
			Key: key,
		}
	}
	s.writes++
	object := s.objects[key]
	wanted, isVersion := condition.(platform.IfVersion)
	if isVersion && wanted.Version != object.Version || !isVersion && object.Version != 0 {
		return 0, &platform.ConflictError{
			Key:   key,
			Found: object.Version,
		}
	}
	s.version++
	apply()
	if s.loseNext {
		s.loseNext = false
		return 0, &platform.UnknownOutcomeError{
			Key: key,
		}
	}
	return s.version, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	return found, nil
}

func (*memoryStore) Watch(context.Context, string, platform.Version, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, nil
}

func (s *memoryStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

func (s *memoryStore) countWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func newStore() *memoryStore {
	return &memoryStore{
		objects: make(map[string]platform.Object),
	}
}

// farStore is the store as one host sees it.
type farStore struct {
	*memoryStore
	delay time.Duration
}

func (s farStore) Put(ctx context.Context, key string, value []byte, condition platform.Condition) (platform.Version, error) {
	time.Sleep(s.delay)
	return s.memoryStore.Put(ctx, key, value, condition)
}

func (s farStore) Get(ctx context.Context, key string) (platform.Object, error) {
	time.Sleep(s.delay)
	return s.memoryStore.Get(ctx, key)
}

func TestClaimedKeyRunsOnce(t *testing.T) {
	store := newStore()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claims := &ticket.Claims{
		Store: store,
		Clock: func() time.Time { return now },
	}
	store.loseNext = true
	decision, err := claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.IsType(t, &ticket.Claimed{}, decision, "the write took effect though its reply was lost")
	again, err := claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.Equal(t, ticket.Repeated{
		Result: ticket.Running,
	}, again)
	claimed := decision.(*ticket.Claimed)
	require.NoError(t, claimed.Settle(t.Context(), ticket.NotRun))
	decision, err = claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.NoError(t, decision.(*ticket.Claimed).Settle(t.Context(), ticket.Answered))
	again, err = claims.Admit(t.Context(), "escuela", "order-1")
	require.NoError(t, err)
	require.Equal(t, ticket.Repeated{
		Result: ticket.Answered,
	}, again)
	other, err := claims.Admit(t.Context(), "iglesia", "order-1")
	require.NoError(t, err)
	require.IsType(t, &ticket.Claimed{}, other)

	store.setDown(true)
	_, err = claims.Admit(t.Context(), "escuela", "order-2")
	var unclear *ticket.ClaimError
	require.ErrorAs(t, err, &unclear)
	_, err = claims.Admit(t.Context(), "escuela", "")
	var wrong *ticket.KeyError
	require.ErrorAs(t, err, &wrong)

	store.setDown(false)
	now = now.Add(25 * time.Hour)
	swept, err := claims.Sweep(t.Context(), 24*time.Hour)
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

func compare(store *memoryStore, random *rand.Rand, admit admitter) comparison {
	var c comparison
	var waits []time.Duration
	for request := range compared {
		isDown := request >= downFrom && request < downTo
		store.setDown(isDown)
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
	c.Writes = store.countWrites()
	c.Median, c.P99 = waits[len(waits)/2], waits[len(waits)*99/100]
	return c
}

// TestTicketsAgainstClaims runs the same requests through tickets, through a
// conditional create for each, and through neither, in virtual time.
func TestTicketsAgainstClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tickets := compare(newStore(), newRandom(), admitByTicket(t))
		store := newStore()
		var settled sync.WaitGroup
		claims := compare(store, newRandom(), admitByClaim(t, store, &settled))
		settled.Wait()
		claims.Writes = store.countWrites()
		neither := compare(newStore(), newRandom(), func(int, int) bool { return true })
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

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// admitByTicket gives each request a name of the host that it goes to first.
func admitByTicket(t *testing.T) admitter {
	f := newFleet()
	names := make(map[int]string)
	for _, r := range f.registers {
		r.Limit = compared
		r.Clock = time.Now
		r.Validity = time.Hour
	}
	return func(host, request int) bool {
		if _, found := names[request]; !found {
			names[request] = f.registers[host].Issue("", 1).Name(0)
		}
		name, err := ticket.Parse(names[request])
		require.NoError(t, err)
		decision := f.registers[host].Admit(name, "")
		if elsewhere, isElsewhere := decision.(ticket.Elsewhere); isElsewhere {
			time.Sleep(roundTrip[false])
			issuer := slices.IndexFunc(f.registers, func(r *ticket.Register) bool { return r.Host == elsewhere.Host })
			decision = f.registers[issuer].Admit(name, "")
		}
		_, isAdmitted := decision.(*ticket.Admitted)
		return isAdmitted
	}
}

// admitByClaim has the store in the region of the first host.
func admitByClaim(t *testing.T, store *memoryStore, settled *sync.WaitGroup) admitter {
	return func(host, request int) bool {
		claims := &ticket.Claims{
			Store: farStore{
				memoryStore: store,
				delay:       roundTrip[host == 0],
			},
		}
		decision, err := claims.Admit(t.Context(), "", fmt.Sprint("order-", request))
		claimed, isClaimed := decision.(*ticket.Claimed)
		if err != nil || !isClaimed {
			return false
		}
		// The result is written while the answer is on its way.
		settled.Go(func() { _ = claimed.Settle(t.Context(), ticket.Answered) })
		return true
	}
}

// BenchmarkAdmit gives the time to admit a name and the memory that it takes
// until it expires.
func BenchmarkAdmit(b *testing.B) {
	r := newFleet().registers[0]
	r.Limit = b.N + 1
	names := make([]ticket.Name, 0, b.N)
	for len(names) < b.N {
		issued := r.Issue("", 64)
		for number := range issued.Count {
			name, err := ticket.Parse(issued.Name(number))
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
