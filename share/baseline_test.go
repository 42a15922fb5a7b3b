package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/share"
)

// rival is another way to divide a limit, under the same requests.
type rival interface {
	take(host string, now time.Time) bool
	kill(host string, now time.Time)
	restart(host string, now time.Time)
}

// simple is one token bucket.
type simple struct {
	rate  share.Rate
	level float64
	last  time.Time
}

func full(rate share.Rate, part float64) *simple {
	scaled := share.Rate{
		PerSecond: rate.PerSecond * part,
		Burst:     rate.Burst * part,
	}
	return &simple{
		rate:  scaled,
		level: scaled.Burst,
		last:  epochZero,
	}
}

func (s *simple) take(now time.Time) bool {
	s.level = min(s.rate.Burst, s.level+now.Sub(s.last).Seconds()*s.rate.PerSecond)
	s.last = now
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// split gives every host an own bucket: an equal part of the limit, or the
// whole of it if the hosts do not coordinate.
type split struct {
	rate    share.Rate
	part    float64
	buckets map[string]*simple
}

func (s *split) take(host string, now time.Time) bool {
	if s.buckets[host] == nil {
		s.buckets[host] = full(s.rate, s.part)
	}
	return s.buckets[host].take(now)
}

func (s *split) kill(host string, _ time.Time) { delete(s.buckets, host) }
func (s *split) restart(string, time.Time)     {}

// home keeps the team's bucket on one host. When that is lost, another takes
// over after four seconds, with a full bucket.
type home struct {
	rate   share.Rate
	hosts  []string
	at     int
	bucket *simple
	down   time.Time
}

func (h *home) take(_ string, now time.Time) bool {
	if now.Before(h.down) {
		return false
	}
	return h.bucket.take(now)
}

func (h *home) kill(host string, now time.Time) {
	if host == h.hosts[h.at] {
		h.at++
		h.down = now.Add(4 * time.Second)
		h.bucket = full(h.rate, 1)
		h.bucket.last = now
	}
}

func (h *home) restart(string, time.Time) {}

// divided is the mechanism itself.
type divided struct{ fleet *fleet }

func (d *divided) take(host string, _ time.Time) bool {
	p := d.fleet.newest(host)
	return p != nil && d.fleet.take(p, d.fleet.limits[0].Name)
}

func (d *divided) kill(host string, _ time.Time)    { d.fleet.kill(host) }
func (d *divided) restart(host string, _ time.Time) { d.fleet.boot(host) }

// score is the outcome of one way under one skew.
type score struct {
	name    string
	rival   rival
	ledger  *share.GrantChecker
	sent    int
	refused int
}

func (s *score) offer(host string, now time.Time) {
	s.sent++
	if !s.rival.take(host, now) {
		s.refused++
		return
	}
	s.ledger.Add(share.GrantRecord{
		Limit: "team/000",
		Host:  host,
		Time:  now,
		Count: 1,
	})
}

func newScores(f *fleet, rate share.Rate) []*score {
	rivals := []*score{
		{
			name: "divided (ours)",
			rival: &divided{
				fleet: f,
			},
		},
		{
			name: "equal static split",
			rival: &split{
				rate:    rate,
				part:    1 / float64(len(f.names)),
				buckets: make(map[string]*simple),
			},
		},
		{
			name: "one home host",
			rival: &home{
				rate:   rate,
				hosts:  []string{f.names[0], f.names[6], f.names[5]},
				bucket: full(rate, 1),
			},
		},
		{
			name: "local, not coordinated",
			rival: &split{
				rate:    rate,
				part:    1,
				buckets: make(map[string]*simple),
			},
		},
	}
	for _, s := range rivals {
		s.ledger = &share.GrantChecker{}
		s.ledger.SetLimits(f.limits)
	}
	return rivals
}

// All ways meet the same requests: three minutes at nine tenths of the rate
// and one minute at five times the rate; in both a host is lost and restarts.
func TestBaselines(t *testing.T) {
	skews := map[string]int{
		"one host":    1,
		"three hosts": 3,
		"all hosts":   7,
	}
	for _, skew := range []string{"one host", "three hosts", "all hosts"} {
		limits := teamLimits(1)
		f := newFleet(t, 6, 7, limits)
		f.back = 0
		f.run(30 * time.Second)
		rate := limits[0].Kind.(share.Rate)
		scores := newScores(f, rate)
		hosts := f.names[1 : 1+min(skews[skew], 6)]
		if skew == "all hosts" {
			hosts = f.names
		}
		steady := f.offerAll(scores, hosts, f.names[0], 0.9*rate.PerSecond, 3*time.Minute)
		f.measure()
		f.offerAll(scores, hosts, f.names[6], 5*rate.PerSecond, time.Minute)
		for place, s := range scores {
			violations := s.ledger.Check(f.now)
			excess := 0.0
			for _, v := range violations {
				excess += v.Excess
			}
			t.Logf("%-11s | %-22s | refused at 0.9: %.4f | requests above the limit: %.0f", skew, s.name, steady[place], excess)
			if place == 0 {
				require.Empty(t, violations)
			}
			if place == 0 && skew == "one host" {
				require.Less(t, steady[place], mostRefused)
			}
		}
		t.Logf("%s, ours: %s", skew, f.perSecond(time.Minute))
	}
}

func (f *fleet) perSecond(period time.Duration) string {
	seconds := period.Seconds()
	return fmt.Sprintf("%.1f messages/s, %.1f store reads/s, %.2f store writes/s of the fleet",
		float64(f.sent)/seconds, float64(f.store.reads)/seconds, float64(f.store.writes)/seconds)
}

// offerAll sends the same Poisson requests to all ways and returns the parts
// that each refused. After a third of the period a host is lost for ten seconds.
func (f *fleet) offerAll(scores []*score, hosts []string, victim string, perSecond float64, period time.Duration) []float64 {
	end := f.now.Add(period)
	killed := f.now.Add(period / 3)
	for _, s := range scores {
		s.sent = 0
		s.refused = 0
	}
	lost := false
	for f.now.Before(end) {
		f.run(time.Duration(f.chance.ExpFloat64() / perSecond * float64(time.Second)))
		if !lost && f.now.After(killed) {
			lost = true
			for _, s := range scores {
				s.rival.kill(victim, f.now)
			}
			f.after(10*time.Second, func() {
				for _, s := range scores {
					s.rival.restart(victim, f.now)
				}
			})
		}
		host := hosts[f.chance.IntN(len(hosts))]
		if f.newest(host) == nil {
			host = f.names[1]
		}
		for _, s := range scores {
			s.offer(host, f.now)
		}
	}
	refused := make([]float64, len(scores))
	for place, s := range scores {
		refused[place] = float64(s.refused) / float64(s.sent)
	}
	return refused
}
