package streamproxy

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/globallimit"
)

const (
	// maxTokenWait is the longest time that a request waits for tokens from other hosts.
	// When a team's callers have just moved to this host, the team is within its rate,
	// but its tokens are still at other hosts, which send them with their next message.
	maxTokenWait = time.Second
	// tokenPollInterval is the time between two checks for tokens.
	tokenPollInterval = 20 * time.Millisecond
	// maxTokenWaitersPerTeam is the largest number of requests of one team that wait for
	// tokens on this host, so that the requests of a team far above its rate do not
	// accumulate here.
	maxTokenWaitersPerTeam = 64
)

// tokenWaiterCounts counts the requests that wait for tokens on this host, by team.
type tokenWaiterCounts struct {
	mutex  sync.Mutex
	counts map[string]int
}

// tryAdd adds one request of the team to the count. It returns false if the team already
// has maxTokenWaitersPerTeam waiting requests.
func (w *tokenWaiterCounts) tryAdd(team string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.counts[team] >= maxTokenWaitersPerTeam {
		return false
	}
	if w.counts == nil {
		w.counts = make(map[string]int)
	}
	w.counts[team]++
	return true
}

// remove subtracts one request of the team from the count.
func (w *tokenWaiterCounts) remove(team string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts[team]--
	if w.counts[team] == 0 {
		delete(w.counts, team)
	}
}

// TeamLimitName returns the name of the limit on a team's rate, which holds over all
// entry hosts together.
func TeamLimitName(team string) string {
	return "team/" + team
}

// acquireRateToken takes a token from the team's rate limit. If this host has none left,
// it waits up to maxTokenWait for tokens from other hosts.
func (s *requestState) acquireRateToken() error {
	if s.team == "" {
		return nil
	}
	err := s.tryAcquireRateToken()
	if err == nil || !isRateLimitError(err) || !s.handler.tokenWaiters.tryAdd(s.team) {
		return err
	}
	defer s.handler.tokenWaiters.remove(s.team)
	giveUpTime := s.handler.now().Add(maxTokenWait)
	for s.handler.now().Before(giveUpTime) {
		if !s.sleep(tokenPollInterval) {
			return err
		}
		// Try only if there is a token, since the limiter counts each failed
		// attempt as demand.
		if s.handler.RateLimiter.LimitStatus(TeamLimitName(s.team)).Available < 1 {
			continue
		}
		if err = s.tryAcquireRateToken(); err == nil {
			return nil
		}
	}
	return err
}

// isRateLimitError reports whether the error is a [RateLimitError]. For other errors there
// is no use in waiting for tokens.
func isRateLimitError(err error) bool {
	_, isRateLimit := err.(*RateLimitError)
	return isRateLimit
}

// tryAcquireRateToken takes a token from the team's rate limit, without waiting.
func (s *requestState) tryAcquireRateToken() error {
	limit := TeamLimitName(s.team)
	switch d := s.handler.RateLimiter.Acquire(limit, 1).(type) {
	case globallimit.Granted:
		s.rateGrant = d.Grant
		return nil
	case globallimit.Rejected:
		if d.Reason == globallimit.Unconfirmed {
			return &RateUnconfirmedError{
				Team:       s.team,
				RetryAfter: d.RetryAfter,
			}
		}
		return &RateLimitError{
			Team:       s.team,
			RetryAfter: d.RetryAfter,
		}
	default:
		// The limiter has no limit of this name ([globallimit.UnknownLimit]): there is one for
		// each team of the table.
		return &UnknownTeamError{
			Team: s.team,
		}
	}
}

// returnRateToken returns the token of a request that was not run.
func (s *requestState) returnRateToken() {
	if s.rateGrant.Limit != "" {
		s.handler.RateLimiter.ReturnGrant(s.rateGrant)
	}
}

// sleep waits. It returns false if the request's deadline passes or the caller cancels
// the request before that.
func (s *requestState) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}
