package globallimit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/globallimit"
)

// seeds is the number of runs of each fault test. The runs for docs/share.md
// use more seeds than the default.
var seeds = flag.Uint64("share.seeds", 4, "number of runs of each fault test, one per seed")

// faultInjector injects faults at random times. Faults overlap and recur.
type faultInjector struct {
	fleet *fleet
	// meanInterval is the mean time between two faults, maxDuration the longest
	// duration of one.
	meanInterval time.Duration
	maxDuration  time.Duration
	injected     map[string]int
	stopped      bool
}

func (f *fleet) startFaultInjector(meanInterval, maxDuration time.Duration) *faultInjector {
	fi := &faultInjector{
		fleet:        f,
		meanInterval: meanInterval,
		maxDuration:  maxDuration,
		injected:     make(map[string]int),
	}
	f.schedule(meanInterval, fi.injectNext)
	return fi
}

func (fi *faultInjector) injectNext() {
	if fi.stopped {
		return
	}
	f := fi.fleet
	f.schedule(time.Duration(f.rand.ExpFloat64()*float64(fi.meanInterval)), fi.injectNext)
	duration := time.Duration(f.rand.Int64N(int64(fi.maxDuration)))
	name := f.hostNames[f.rand.IntN(len(f.hostNames))]
	other := f.hostNames[f.rand.IntN(len(f.hostNames))]
	// A fault that is listed several times is more frequent.
	faults := []func(time.Duration, string, string) string{
		fi.kill, fi.freeze, fi.duplicate, fi.cutOneWay, fi.isolate, fi.partition,
		fi.storeOutage, fi.storeUnreachable, fi.loseStoreReplies, fi.loseMessages, fi.freezeOneOrRestartAll,
		fi.partition, fi.startIfDown, fi.startIfDown, fi.kill,
	}
	fi.injected[faults[f.rand.IntN(len(faults))](duration, name, other)]++
}

func (fi *faultInjector) kill(duration time.Duration, name, _ string) string {
	fi.fleet.killHost(name)
	fi.fleet.schedule(duration, func() { fi.startIfDown(0, name, "") })
	return "kill"
}

func (fi *faultInjector) freeze(duration time.Duration, name, _ string) string {
	if p := fi.fleet.newestProcess(name); p != nil && !p.frozen {
		p.frozen = true
		fi.fleet.schedule(duration, func() { fi.fleet.unfreeze(p) })
	}
	return "freeze"
}

// startIfDown starts a process on a host that has none.
func (fi *faultInjector) startIfDown(_ time.Duration, name, _ string) string {
	if fi.fleet.newestProcess(name) == nil {
		fi.fleet.startProcess(name)
	}
	return "join"
}

// duplicate starts a second process on a random host, beside one that may still
// run or be frozen.
func (fi *faultInjector) duplicate(time.Duration, string, string) string {
	name := fi.fleet.hostNames[fi.fleet.rand.IntN(len(fi.fleet.hostNames))]
	p := fi.fleet.startProcess(name)
	p.limiter.SoleProcess = false
	return "duplicate"
}

func (fi *faultInjector) cutOneWay(duration time.Duration, name, other string) string {
	fi.cutLink(duration, name, other)
	return "one-way link failure"
}

func (fi *faultInjector) cutLink(duration time.Duration, from, to string) {
	link := [2]string{from, to}
	fi.fleet.downLinks[link] = true
	fi.fleet.schedule(duration, func() { delete(fi.fleet.downLinks, link) })
}

func (fi *faultInjector) isolate(duration time.Duration, name, _ string) string {
	for _, other := range fi.fleet.hostNames {
		fi.cutLink(duration, name, other)
		fi.cutLink(duration, other, name)
	}
	return "host isolated"
}

// partition splits the fleet in two, with the store reachable from one side
// only.
func (fi *faultInjector) partition(duration time.Duration, _, _ string) string {
	farSide := make(map[string]bool)
	for _, name := range fi.fleet.hostNames {
		farSide[name] = fi.fleet.rand.IntN(2) == 0
	}
	for _, name := range fi.fleet.hostNames {
		for _, other := range fi.fleet.hostNames {
			if farSide[name] != farSide[other] {
				fi.cutLink(duration, name, other)
			}
		}
		if farSide[name] {
			fi.storeUnreachable(duration, name, "")
		}
	}
	return "partition"
}

func (fi *faultInjector) storeOutage(duration time.Duration, _, _ string) string {
	fi.fleet.store.down = true
	fi.fleet.schedule(duration, func() { fi.fleet.store.down = false })
	return "store down"
}

func (fi *faultInjector) storeUnreachable(duration time.Duration, name, _ string) string {
	fi.fleet.store.unreachableFrom[name] = true
	fi.fleet.schedule(duration, func() { delete(fi.fleet.store.unreachableFrom, name) })
	return "store unreachable from one host"
}

func (fi *faultInjector) loseStoreReplies(duration time.Duration, _, _ string) string {
	fi.fleet.store.replyLossProbability = 0.7
	fi.fleet.schedule(duration, func() { fi.fleet.store.replyLossProbability = 0 })
	return "store replies lost"
}

func (fi *faultInjector) loseMessages(duration time.Duration, _, _ string) string {
	fi.fleet.networkFaultProbability = 0.2
	fi.fleet.schedule(duration, func() { fi.fleet.networkFaultProbability = 0 })
	return "messages lost"
}

// freezeOneOrRestartAll restarts all hosts at once with a probability of one
// quarter, or else freezes one host.
func (fi *faultInjector) freezeOneOrRestartAll(duration time.Duration, name, other string) string {
	if fi.fleet.rand.IntN(4) > 0 {
		return fi.freeze(duration, name, other)
	}
	for _, host := range fi.fleet.hostNames {
		fi.fleet.killHost(host)
		fi.fleet.startProcess(host)
	}
	return "all hosts restarted"
}

// checkSharesRepeatedly requires in each interval that the usable shares and
// the tokens of all processes together stay within each limit, including
// processes that are frozen or isolated. Grants alone show an excess only if
// callers use it.
func (f *fleet) checkSharesRepeatedly(interval time.Duration) {
	f.schedule(interval, func() { f.checkSharesRepeatedly(interval) })
	for _, limit := range f.limits {
		shares, tokens := 0.0, 0.0
		for _, p := range f.processes {
			if !p.dead {
				status := p.limiter.LimitStatus(limit.Name)
				shares += status.Share
				tokens += status.Available
			}
		}
		require.LessOrEqual(f.t, shares, 1+1e-6, "usable shares of %s at %s", limit.Name, f.now)
		if rate, ok := limit.Kind.(globallimit.Rate); ok {
			require.LessOrEqual(f.t, tokens, rate.Burst+1e-6, "tokens of %s at %s", limit.Name, f.now)
		}
	}
}

// faultTestLimits returns three rates with small bursts, so that even a small
// excess breaks a limit, a rate with a large burst, and slots.
func faultTestLimits() []globallimit.Limit {
	limits := teamLimits(5)
	for i, limit := range limits[:4] {
		limits[i].Kind = globallimit.Rate{
			PerSecond: 2 * limit.Kind.(globallimit.Rate).PerSecond,
			Burst:     10,
		}
	}
	// This burst takes forty seconds to refill and is drained all the time, so
	// that a bucket that wrongly starts full breaks the limit.
	limits[3].Kind = globallimit.Rate{
		PerSecond: 5,
		Burst:     200,
	}
	limits[4].Kind = globallimit.Slots{
		Count:       30,
		MaxDuration: 25 * time.Second,
	}
	return limits
}

// requireRecovery stops the faults and requires that nearly the whole of each
// limit is usable again within a minute after the last fault.
func (f *fleet) requireRecovery(injector *faultInjector, limits []globallimit.Limit) {
	injector.stopped = true
	f.advance(injector.maxDuration)
	for _, name := range f.hostNames {
		if len(f.hosts[name]) != 1 || f.newestProcess(name) == nil {
			f.killHost(name)
			f.startProcess(name)
		}
	}
	f.advance(time.Minute)
	for _, limit := range limits {
		shares := 0.0
		for _, p := range f.processes {
			if !p.dead {
				shares += p.limiter.LimitStatus(limit.Name).Share
			}
		}
		require.Greater(f.t, shares, 0.9, limit.Name)
	}
	requireLimitsHeld(f.t, f)
}

// startSlotCallers takes slots of a limit and releases each after a random time
// below its longest duration.
func (f *fleet) startSlotCallers(limit globallimit.Limit, meanInterval time.Duration) {
	f.schedule(time.Duration(f.rand.ExpFloat64()*float64(meanInterval)), func() { f.startSlotCallers(limit, meanInterval) })
	p := f.newestProcess(f.hostNames[f.rand.IntN(len(f.hostNames))])
	if p == nil || p.frozen {
		return
	}
	granted, ok := p.limiter.Acquire(limit.Name, 1).(globallimit.Granted)
	if !ok {
		f.rejected++
		return
	}
	f.granted++
	record := globallimit.GrantRecord{
		Limit: limit.Name,
		Host:  p.name,
		Time:  f.now,
		Count: 1,
	}
	f.checker.Add(record)
	maxDuration := limit.Kind.(globallimit.Slots).MaxDuration
	f.schedule(time.Duration(f.rand.Int64N(int64(maxDuration))), func() {
		record.Time = f.now
		record.Count = -1
		f.checker.Add(record)
		f.schedule(0, func() { p.limiter.Release(granted.Grant) })
	})
}

// Grants must never exceed a limit under faults of hosts, network and store
// that overlap and recur. An excess arises when two processes use the same
// share, for example after a process was frozen while another epoch took its
// share.
func TestGrantsNeverExceedLimitsDuringFaults(t *testing.T) {
	t.Parallel()
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			limits := faultTestLimits()
			f := newFleet(t, seed, 7, limits)
			for i := range 5 {
				f.hostNames = append(f.hostNames, fmt.Sprintf("spare-%d", i))
			}
			for i, limit := range limits[:4] {
				f.startCallers(&callers{
					limit:     limit.Name,
					perSecond: float64(1+i) * limit.Kind.(globallimit.Rate).PerSecond,
					hosts:     f.hostNames[:12-i],
				})
			}
			f.startSlotCallers(limits[4], 20*time.Millisecond)
			f.checkSharesRepeatedly(100 * time.Millisecond)
			injector := f.startFaultInjector(8*time.Second, 40*time.Second)
			for range 5 {
				f.advance(time.Minute)
				requireLimitsHeld(t, f)
			}
			f.requireRecovery(injector, limits)
			t.Logf("granted %d, rejected %d, faults %v", f.granted, f.rejected, injector.injected)
		})
	}
}
