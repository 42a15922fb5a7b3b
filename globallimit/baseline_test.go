package globallimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/globallimit"
)

// limitStrategy is one way to enforce a limit on several hosts.
type limitStrategy interface {
	acquire(host string, now time.Time) bool
	kill(host string, now time.Time)
	restart(host string, now time.Time)
}

// tokenBucket is a single token bucket.
type tokenBucket struct {
	rate       globallimit.Rate
	tokens     float64
	refilledAt time.Time
}

func newFullBucket(rate globallimit.Rate, fraction float64) *tokenBucket {
	scaled := globallimit.Rate{
		PerSecond: rate.PerSecond * fraction,
		Burst:     rate.Burst * fraction,
	}
	return &tokenBucket{
		rate:       scaled,
		tokens:     scaled.Burst,
		refilledAt: startTime,
	}
}

func (s *tokenBucket) acquire(now time.Time) bool {
	s.tokens = min(s.rate.Burst, s.tokens+now.Sub(s.refilledAt).Seconds()*s.rate.PerSecond)
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// localBuckets gives every host a bucket of its own: an equal share of the
// limit, or the whole limit if the hosts don't coordinate.
type localBuckets struct {
	rate    globallimit.Rate
	share   float64
	buckets map[string]*tokenBucket
}

func (s *localBuckets) acquire(host string, now time.Time) bool {
	if s.buckets[host] == nil {
		s.buckets[host] = newFullBucket(s.rate, s.share)
	}
	return s.buckets[host].acquire(now)
}

func (s *localBuckets) kill(host string, _ time.Time) { delete(s.buckets, host) }
func (s *localBuckets) restart(string, time.Time)     {}

// singleHost keeps the team's bucket on one host. When that host is lost,
// another one takes over after four seconds with a full bucket.
type singleHost struct {
	rate             globallimit.Rate
	hosts            []string
	current          int
	bucket           *tokenBucket
	unavailableUntil time.Time
}

func (h *singleHost) acquire(_ string, now time.Time) bool {
	if now.Before(h.unavailableUntil) {
		return false
	}
	return h.bucket.acquire(now)
}

func (h *singleHost) kill(host string, now time.Time) {
	if host == h.hosts[h.current] {
		h.current++
		h.unavailableUntil = now.Add(4 * time.Second)
		h.bucket = newFullBucket(h.rate, 1)
		h.bucket.refilledAt = now
	}
}

func (h *singleHost) restart(string, time.Time) {}

// sharedLimit is the strategy of package globallimit.
type sharedLimit struct{ fleet *fleet }

func (d *sharedLimit) acquire(host string, _ time.Time) bool {
	p := d.fleet.newestProcess(host)
	return p != nil && d.fleet.acquireOne(p, d.fleet.limits[0].Name)
}

func (d *sharedLimit) kill(host string, _ time.Time)    { d.fleet.killHost(host) }
func (d *sharedLimit) restart(host string, _ time.Time) { d.fleet.startProcess(host) }

// trial is one strategy and its results under one distribution of callers.
type trial struct {
	name     string
	strategy limitStrategy
	checker  *globallimit.GrantChecker
	sent     int
	rejected int
}

func (tr *trial) send(host string, now time.Time) {
	tr.sent++
	if !tr.strategy.acquire(host, now) {
		tr.rejected++
		return
	}
	tr.checker.Add(globallimit.GrantRecord{
		Limit: "team/000",
		Host:  host,
		Time:  now,
		Count: 1,
	})
}

func newTrials(f *fleet, rate globallimit.Rate) []*trial {
	trials := []*trial{
		{
			name: "package globallimit",
			strategy: &sharedLimit{
				fleet: f,
			},
		},
		{
			name: "equal static split",
			strategy: &localBuckets{
				rate:    rate,
				share:   1 / float64(len(f.hostNames)),
				buckets: make(map[string]*tokenBucket),
			},
		},
		{
			name: "single host",
			strategy: &singleHost{
				rate: rate,
				// The bucket moves on with each loss: hosts 0 and 6 are lost in
				// turn.
				hosts:  []string{f.hostNames[0], f.hostNames[6], f.hostNames[5]},
				bucket: newFullBucket(rate, 1),
			},
		},
		{
			name: "local, not coordinated",
			strategy: &localBuckets{
				rate:    rate,
				share:   1,
				buckets: make(map[string]*tokenBucket),
			},
		},
	}
	for _, tr := range trials {
		tr.checker = &globallimit.GrantChecker{}
		tr.checker.SetLimits(f.limits)
	}
	return trials
}

// All strategies get the same requests: three minutes at nine tenths of the
// rate and one minute at five times the rate. In each of the two periods, a
// host is lost and restarts. Package globallimit must grant nothing above the limit,
// and reject less than one request in a hundred in the first period if all
// callers use one host.
func TestSharedLimitIsNeverExceededForAnyCallerDistribution(t *testing.T) {
	hostCounts := map[string]int{
		"one host":    1,
		"three hosts": 3,
		"all hosts":   7,
	}
	for _, distribution := range []string{"one host", "three hosts", "all hosts"} {
		limits := teamLimits(1)
		f := newFleet(t, 6, 7, limits)
		f.returnProbability = 0
		f.advance(30 * time.Second)
		rate := limits[0].Kind.(globallimit.Rate)
		trials := newTrials(f, rate)
		// Host 0 is lost in the first period and gets requests only if all
		// hosts do.
		hosts := f.hostNames[1 : 1+min(hostCounts[distribution], 6)]
		if distribution == "all hosts" {
			hosts = f.hostNames
		}
		rejectedFractions := f.sendToAll(trials, hosts, f.hostNames[0], 0.9*rate.PerSecond, 3*time.Minute)
		f.resetTraffic()
		f.sendToAll(trials, hosts, f.hostNames[6], 5*rate.PerSecond, time.Minute)
		for i, tr := range trials {
			violations := tr.checker.Check(f.now)
			excess := 0.0
			for _, v := range violations {
				excess += v.Excess
			}
			t.Logf("%-11s | %-22s | rejected at 0.9 of the rate: %.4f | grants above the limit: %.0f", distribution, tr.name, rejectedFractions[i], excess)
			if i == 0 {
				require.Empty(t, violations)
			}
			if i == 0 && distribution == "one host" {
				require.Less(t, rejectedFractions[i], maxRejectedFraction)
			}
		}
		t.Logf("%s, traffic of package globallimit: %s", distribution, f.trafficSummary(time.Minute))
	}
}

func (f *fleet) trafficSummary(period time.Duration) string {
	seconds := period.Seconds()
	return fmt.Sprintf("%.1f messages/s, %.1f store reads/s, %.2f store writes/s in the whole fleet",
		float64(f.messagesSent)/seconds, float64(f.store.reads)/seconds, float64(f.store.writes)/seconds)
}

// sendToAll sends the same Poisson arrivals to all strategies and returns the
// fraction that each rejected. After a third of the period, victim is lost for
// ten seconds.
func (f *fleet) sendToAll(trials []*trial, hosts []string, victim string, perSecond float64, period time.Duration) []float64 {
	end := f.now.Add(period)
	killAt := f.now.Add(period / 3)
	for _, tr := range trials {
		tr.sent = 0
		tr.rejected = 0
	}
	wasKilled := false
	for f.now.Before(end) {
		f.advance(time.Duration(f.rand.ExpFloat64() / perSecond * float64(time.Second)))
		if !wasKilled && f.now.After(killAt) {
			wasKilled = true
			for _, tr := range trials {
				tr.strategy.kill(victim, f.now)
			}
			f.schedule(10*time.Second, func() {
				for _, tr := range trials {
					tr.strategy.restart(victim, f.now)
				}
			})
		}
		host := hosts[f.rand.IntN(len(hosts))]
		if f.newestProcess(host) == nil {
			host = f.hostNames[1]
		}
		for _, tr := range trials {
			tr.send(host, f.now)
		}
	}
	rejected := make([]float64, len(trials))
	for i, tr := range trials {
		rejected[i] = float64(tr.rejected) / float64(tr.sent)
	}
	return rejected
}
