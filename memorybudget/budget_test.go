package memorybudget_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/memorybudget"
)

const (
	// testLimit is a quarter of the memory of the smallest host.
	testLimit = 46 << 20
	// step is how much of a body is reserved at once.
	step = 16 << 10
	// crowdBody is what each body of a crowd holds when it stops short of its end.
	crowdBody = 252 << 10
)

var (
	crowdAddress  = netip.MustParseAddr("192.0.2.1")
	callerAddress = netip.MustParseAddr("198.51.100.7")
)

// load plays callers against a budget.
type load struct {
	t      *testing.T
	budget memorybudget.Budget
	// ctx ends with the crowd.
	ctx context.Context
	end context.CancelFunc
}

func newLoad(t *testing.T) *load {
	l := &load{
		t: t,
	}
	l.ctx, l.end = context.WithCancel(t.Context())
	l.budget.SetLimit(testLimit)
	return l
}

// stop ends the crowd, and checks that it has left nothing.
func (l *load) stop() {
	l.end()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	require.Zero(l.t, l.budget.Usage().Used)
}

// body is a request body whose caller sends it.
type body struct {
	*memorybudget.Holding
	// interrupted is closed when the body is evicted.
	interrupted chan memorybudget.Reason
}

func (l *load) open(address netip.Addr, team string, expected int64) *body {
	b := &body{
		interrupted: make(chan memorybudget.Reason, 1),
	}
	b.Holding = l.budget.Open(memorybudget.Owner{
		Group:    memorybudget.NewGroup(address, team),
		Expected: expected,
		OnEvict:  func(reason memorybudget.Reason) { b.interrupted <- reason },
	})
	return b
}

// receive reserves and reads n bytes that arrive at once.
func (b *body) receive(ctx context.Context, n int64) error {
	for received := int64(0); received < n; received += step {
		size := min(step, n-received)
		if err := b.Reserve(ctx, size); err != nil {
			return err
		}
		b.Begin()
		b.End(int(size))
	}
	return nil
}

// stopShort sends what the crowd sends and nothing more, until the body is evicted or the context ends.
func (b *body) stopShort(ctx context.Context) {
	defer b.Close()
	if b.receive(ctx, crowdBody) != nil {
		return
	}
	b.Begin()
	select {
	case <-b.interrupted:
	case <-ctx.Done():
	}
}

// crowd runs callers with bodies that stop short. They come again when they are turned away, until the end.
func (l *load) crowd(size int, address func(int) netip.Addr) {
	for i := range size {
		go func() {
			for l.ctx.Err() == nil {
				l.open(address(i), "crowd", crowdBody+4<<10).stopShort(l.ctx)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// requireServed sends a body and requires that it gets memory in time.
func (l *load) requireServed(address netip.Addr, team string, size int64) {
	b := l.open(address, team, size)
	defer b.Close()
	start := time.Now()
	require.NoError(l.t, b.receive(l.t.Context(), size), "%d bytes of %s", size, team)
	require.LessOrEqual(l.t, time.Since(start), memorybudget.MaxWait)
}

func (l *load) requireWithinLimit() {
	usage := l.budget.Usage()
	require.LessOrEqual(l.t, usage.Used, usage.Limit)
}

func one(int) netip.Addr { return crowdAddress }

func many(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

// TestOrdinaryCallersAreServedBesideBodiesThatStopShort replays 1,500 bodies of 256 KiB that stop 4 KiB short and stay open,
// from one address and from many. It guards against a crowd that takes all memory, and against callers of the
// crowd's own address and team who get none. Long bodies of others are not told apart from those of a crowd of many addresses.
func TestOrdinaryCallersAreServedBesideBodiesThatStopShort(t *testing.T) {
	for name, address := range map[string]func(int) netip.Addr{
		"one address":    one,
		"many addresses": many,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLoad(t)
				defer l.stop()
				l.crowd(1500, address)
				for range 20 {
					time.Sleep(500 * time.Millisecond)
					l.requireWithinLimit()
					l.requireServed(callerAddress, "shop", 2<<10)
					l.requireServed(crowdAddress, "crowd", 2<<10)
					if name == "one address" {
						l.requireServed(callerAddress, "shop", 100<<10)
					}
				}
			})
		})
	}
}

// TestResponsesGetMemoryBesideACrowd guards against responses that are dropped because request bodies hold the memory.
func TestResponsesGetMemoryBesideACrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		defer l.stop()
		l.crowd(1500, one)
		time.Sleep(memorybudget.Window / 2)
		response := l.budget.Open(memorybudget.Owner{
			Group: memorybudget.NewGroup(crowdAddress, "crowd"),
			Kind:  memorybudget.Response,
		})
		start := time.Now()
		for range 8 << 20 / (32 << 10) {
			require.NoError(t, response.Reserve(t.Context(), 32<<10))
		}
		require.Zero(t, time.Since(start))
		response.Close()
	})
}

// TestAddressWithMostConnectionsMakesRoomForOthers replays callers of one address who fill the budget with bodies that
// arrive steadily. It guards against an address that keeps the others out by its number of connections.
func TestAddressWithMostConnectionsMakesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		defer l.stop()
		for range 400 {
			go func() {
				for l.ctx.Err() == nil {
					b := l.open(crowdAddress, "large", 256<<10)
					for range 16 {
						if b.Reserve(l.ctx, step) != nil {
							break
						}
						b.Begin()
						time.Sleep(300 * time.Millisecond)
						b.End(step)
					}
					b.Close()
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
		for range 10 {
			time.Sleep(2 * time.Second)
			l.requireWithinLimit()
			l.requireServed(callerAddress, "small", 200<<10)
		}
	})
}

// sendSlowly sends a body of n bytes, one byte every 200 ms, and returns the reason if it is evicted.
func (l *load) sendSlowly(address netip.Addr, n int64) memorybudget.Reason {
	b := l.open(address, "slow", n)
	defer b.Close()
	require.NoError(l.t, b.Reserve(l.t.Context(), n))
	for range n {
		b.Begin()
		select {
		case reason := <-b.interrupted:
			return reason
		case <-time.After(200 * time.Millisecond):
		}
		b.End(1)
	}
	return ""
}

// TestSlowSenderIsServedAtRest guards against limits that turn away callers for being slow when nobody needs their memory.
func TestSlowSenderIsServedAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		require.Empty(t, l.sendSlowly(callerAddress, 200))
	})
}

// TestStalledBodiesGoBeforeSlowOnes replays slow but steady senders beside a crowd that stalls. It guards against slow senders who
// lose their place to callers that send nothing.
func TestStalledBodiesGoBeforeSlowOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		defer l.stop()
		l.crowd(1500, one)
		time.Sleep(3 * time.Second)
		require.Empty(t, l.sendSlowly(callerAddress, 50))
	})
}

// TestSlowGroupMakesRoomUnderPressure guards against slow senders of one address who keep all memory, although
// they send nearly nothing.
func TestSlowGroupMakesRoomUnderPressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		defer l.stop()
		reasons := make(chan memorybudget.Reason, 200)
		for range 200 {
			go func() {
				b := l.open(crowdAddress, "slow", 256<<10)
				defer b.Close()
				if b.receive(t.Context(), 128<<10) != nil {
					return
				}
				for range 100 {
					b.Begin()
					select {
					case reason := <-b.interrupted:
						reasons <- reason
						return
					case <-time.After(100 * time.Millisecond):
					}
					b.End(1)
				}
			}()
		}
		time.Sleep(5 * time.Second)
		require.Empty(t, reasons)
		for range 40 {
			// Each stays, so that the slow ones must make room.
			b := l.open(callerAddress, "shop", 200<<10)
			defer b.Close()
			require.NoError(t, b.receive(t.Context(), 200<<10))
		}
		require.NotEmpty(t, reasons)
		require.Equal(t, memorybudget.Slow, <-reasons)
		l.requireWithinLimit()
	})
}

// TestLegalUploadIsServedAtRest sends 64 MiB, more than the budget, through a window, with pauses.
func TestLegalUploadIsServedAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		b := l.open(callerAddress, "shop", 64<<20)
		defer b.Close()
		require.NoError(t, b.Reserve(t.Context(), 64<<10))
		for range 64 << 20 / (32 << 10) {
			b.Begin()
			time.Sleep(10 * time.Millisecond)
			b.End(32 << 10)
		}
		b.Begin()
		time.Sleep(10 * memorybudget.Window)
		b.End(0)
		require.NoError(t, b.Err())
	})
}

// TestHoldingThatWaitsForItsOwnerStays guards against uploads that are evicted as stalled because their backend server is slow.
func TestHoldingThatWaitsForItsOwnerStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		defer l.stop()
		kept := l.open(callerAddress, "shop", 1<<20)
		defer kept.Close()
		require.NoError(t, kept.receive(t.Context(), 64<<10))
		l.crowd(1500, one)
		time.Sleep(10 * time.Second)
		require.NoError(t, kept.Err())
	})
}

// TestUrgentReservationsComeFirst guards against priorities that memory ignores.
func TestUrgentReservationsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		full := l.open(crowdAddress, "", 1<<30)
		require.NoError(t, full.receive(t.Context(), testLimit/8*5/step*step))
		served := make(chan int, 2)
		for _, priority := range []int{2, 1} {
			go func() {
				h := l.budget.Open(memorybudget.Owner{
					Expected: 2 * memorybudget.ShortUploadBytes,
					Priority: priority,
				})
				defer h.Close()
				if h.Reserve(t.Context(), step) == nil {
					served <- priority
					time.Sleep(time.Millisecond)
				}
			}()
			synctest.Wait()
		}
		full.Release(step)
		require.Equal(t, 1, <-served)
		full.Close()
		require.Equal(t, 2, <-served)
		time.Sleep(time.Second)
		require.Zero(t, l.budget.Usage().Used)
	})
}

// TestReservationThatDoesNotFitIsRefusedInTime guards against requests that wait until their deadline for memory.
func TestReservationThatDoesNotFitIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		full := l.open(crowdAddress, "", 1<<30)
		require.NoError(t, full.receive(t.Context(), testLimit/8*5/step*step))
		waiting := l.open(callerAddress, "", 1<<20)
		start := time.Now()
		var refused *memorybudget.RefusedError
		require.ErrorAs(t, waiting.Reserve(t.Context(), step), &refused)
		require.InDelta(t, memorybudget.MaxWait, time.Since(start), float64(memorybudget.Window/5))
		require.ErrorAs(t, waiting.Reserve(t.Context(), testLimit), &refused, "more than can ever fit")
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		require.ErrorIs(t, waiting.Reserve(ctx, step), context.DeadlineExceeded)
		full.Close()
		waiting.Close()
		require.Zero(t, l.budget.Usage().Used)
	})
}

// TestStalledHoldingLosesASlot guards against uploads that keep a server's slot, and against evictions of those that progress.
func TestStalledHoldingLosesASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad(t)
		b := l.open(callerAddress, "shop", 1<<20)
		defer b.Close()
		require.False(t, b.EvictIfStalled(memorybudget.SlotNeeded))
		b.Begin()
		time.Sleep(memorybudget.Window / 2)
		require.False(t, b.EvictIfStalled(memorybudget.SlotNeeded))
		time.Sleep(memorybudget.Window / 2)
		require.True(t, b.EvictIfStalled(memorybudget.SlotNeeded))
		require.Equal(t, memorybudget.SlotNeeded, <-b.interrupted)
		require.False(t, b.EvictIfStalled(memorybudget.SlotNeeded))
	})
}

// TestAddressesOfOneNetworkAreOneCaller guards against callers that evade the groups by using the many addresses of their network.
func TestAddressesOfOneNetworkAreOneCaller(t *testing.T) {
	group := func(address string) memorybudget.Group {
		return memorybudget.NewGroup(netip.MustParseAddr(address), "shop")
	}
	require.Equal(t, group("2001:db8::1"), group("2001:db8::2"))
	require.NotEqual(t, group("2001:db8::1"), group("2001:db8:0:1::1"))
	require.Equal(t, group("192.0.2.1"), group("::ffff:192.0.2.1"))
	require.NotEqual(t, group("192.0.2.1"), group("192.0.2.2"))
}
