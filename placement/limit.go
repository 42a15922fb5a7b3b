package placement

import (
	"math"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// LimitReport is what a response of a backend server says of the rate of requests that the
// server accepts from all hosts together: [LimitedTo] or [Unlimited].
type LimitReport interface{ isLimitReport() }

// LimitedTo means that the server is in need and names a limit.
type LimitedTo struct {
	// Rate is the limit in requests per second, at least zero.
	Rate float64
}

// Unlimited means that the server names no limit.
type Unlimited struct{}

func (LimitedTo) isLimitReport() {}
func (Unlimited) isLimitReport() {}

// Only a few hosts, the senders, may send requests to a server that names a limit, because
// each of them may send limitBurst requests besides its share of the rate. There are a few for
// any limit, and one more for each request per second of it.
const (
	minLimitSenders = 4
	limitBurst      = 1
	// localLimitSenders is the fraction of the senders that are in the server's region.
	localLimitSenders = 0.75
	// maxLimitSenders bounds the senders that are added for the rate.
	maxLimitSenders = 1000
)

// serverLimit is the limit that a server names, as this host knows it.
type serverLimit struct {
	isNamed bool
	// rate is the limit in requests per second.
	rate float64
	// observedAt is when the server sent the response from which the limit, or its end, is
	// known, to this host or another one; zero if the server never named a limit.
	observedAt time.Time
	// isOwn is true if the response was sent to this host.
	isOwn bool
	// changedAt is when the limit was named, changed or ended, and reportedAt when it was last
	// reported to other hosts.
	changedAt  time.Time
	reportedAt time.Time
	// triedAt is when this host last sent a request without a token.
	triedAt time.Time
	// sent is how many requests this host sent to the server since it named the limit.
	sent uint64
	// share is this host's share of the rate while hosts are those of the given generation.
	share      float64
	generation uint64
	tokens     meter.TokenBucket
}

// LimitChange tells how the limit of a server changed: [LimitNamed] or [LimitEnded].
type LimitChange interface{ isLimitChange() }

// LimitNamed means that a server names a limit, or another one than before.
type LimitNamed struct {
	Server string
	// Rate is the limit in requests per second.
	Rate float64
}

// LimitEnded means that a server names no limit any more.
type LimitEnded struct {
	Server string
	// Sent is how many requests this host sent to the server while there was a limit.
	Sent uint64
}

func (LimitNamed) isLimitChange() {}
func (LimitEnded) isLimitChange() {}

// RecordLimit records what a response of the reserved server says of its limit. It returns
// the change, or nil if there is none.
func (p *Pool) RecordLimit(r *Reservation, report LimitReport) LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	change := r.server.applyLimit(report, now, now)
	r.server.limit.isOwn = true
	return change
}

// applyLimit applies now what the server said of its limit at a time.
func (s *server) applyLimit(report LimitReport, observedAt, now time.Time) LimitChange {
	limit := &s.limit
	switch named := report.(type) {
	case LimitedTo:
		isChange := !limit.isNamed || isOtherRate(limit.rate, named.Rate)
		limit.isNamed, limit.observedAt = true, observedAt
		if isChange {
			limit.rate, limit.changedAt = named.Rate, now
			// The share depends on the rate.
			limit.generation = 0
			return LimitNamed{
				Server: s.Name,
				Rate:   named.Rate,
			}
		}
	case Unlimited:
		if !limit.isNamed {
			return nil
		}
		ended := LimitEnded{
			Server: s.Name,
			Sent:   limit.sent,
		}
		*limit = serverLimit{
			observedAt: observedAt,
			changedAt:  now,
		}
		return ended
	}
	return nil
}

// isOtherRate reports whether two rates differ by more than a tenth.
func isOtherRate(a, b float64) bool {
	return math.Abs(a-b) > 0.1*max(a, b)
}

// hasLimitToken reports whether this host may send a request to the server now, as far as the
// limit goes that the server names.
func (p *Pool) hasLimitToken(s *server, now time.Time) bool {
	limit := &s.limit
	if !limit.isNamed {
		return true
	}
	if limit.generation != p.hostsGeneration || p.hostsGeneration == 0 {
		limit.share = p.limitShare(s)
		limit.generation = p.hostsGeneration
	}
	limit.tokens.SetRate(now, limit.rate*limit.share, limitBurst)
	return limit.tokens.HasToken(now) || s.mayTryLimit(now)
}

// takeLimitToken counts a request to the server, for which [Pool.hasLimitToken] holds.
func (s *server) takeLimitToken(now time.Time) {
	if !s.limit.isNamed {
		return
	}
	s.limit.sent++
	if !s.limit.tokens.TakeToken(now) {
		s.limit.triedAt = now
	}
}

// A limit is only known to last while the server repeats it. If no host has got a response of
// the server for some time, this host sends it one request without a token. The senders do so
// first, because they are few.
const (
	senderLimitAge = 10 * time.Second
	maxLimitAge    = 30 * time.Second
)

// mayTryLimit reports whether a request may be sent without a token, to learn whether the
// server still names its limit.
func (s *server) mayTryLimit(now time.Time) bool {
	age := maxLimitAge
	if s.limit.share > 0 {
		age = senderLimitAge
	}
	return s.inFlight == 0 && now.Sub(later(s.limit.observedAt, s.limit.triedAt)) > age
}

// limitShare returns the fraction, from 0 to 1, that this host may send of what a server
// accepts.
func (p *Pool) limitShare(s *server) float64 {
	if p.hosts == nil {
		return 1
	}
	return LimitShare(p.Host, s.Region, s.Name, s.limit.rate, p.hosts)
}

// LimitShare returns the fraction, from 0 to 1, that a host may send of the rate, in requests
// per second, to which a server limits the requests of all hosts. The region is the server's,
// and hosts are those of [Pool.SetHosts]. All hosts compute the shares in the same way, so that
// their sum is at most one.
func LimitShare(host, region, server string, rate float64, hosts map[string][]string) float64 {
	senders := minLimitSenders + int(min(rate, maxLimitSenders))
	local := int(localLimitSenders * float64(senders))
	return rateShare(host, region, server, hosts, local, senders-local)
}
