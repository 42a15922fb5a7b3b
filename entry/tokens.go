package entry

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/share"
)

const (
	// tokenWait is how long a request may wait for tokens that other hosts lend
	// this one: a team whose callers have just come here is within its rate,
	// and its tokens are a message away.
	tokenWait = time.Second
	// tokenPoll is the time between two looks at the tokens.
	tokenPoll = 20 * time.Millisecond
	// maxTokenWaiting bounds the requests of one team that wait for tokens on a
	// host, so that a team far above its rate does not pile up here.
	maxTokenWaiting = 64
)

// tokenWaiting counts the requests of each team that wait for tokens on a host.
type tokenWaiting struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (w *tokenWaiting) enter(team string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.counts[team] >= maxTokenWaiting {
		return false
	}
	if w.counts == nil {
		w.counts = make(map[string]int)
	}
	w.counts[team]++
	return true
}

func (w *tokenWaiting) exit(team string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts[team]--
	if w.counts[team] == 0 {
		delete(w.counts, team)
	}
}

// TeamLimit is the name of the fleet-wide limit on a team's rate.
func TeamLimit(team string) string {
	return "team/" + team
}

// takeRate takes one request of the team's rate and burst, and waits a little
// if this host has none left.
func (c *call) takeRate() error {
	if c.team == "" {
		return nil
	}
	err := c.takeToken()
	until := c.handler.now().Add(tokenWait)
	for mayWait(err) && c.handler.now().Before(until) {
		if !c.awaitTokens(TeamLimit(c.team)) {
			return err
		}
		err = c.takeToken()
	}
	return err
}

// awaitTokens waits until this host holds a token of the limit, and reports
// false if none came in time. It only looks: each take that is refused counts
// as demand at every host.
func (c *call) awaitTokens(limit string) bool {
	if !c.handler.tokenWaiting.enter(c.team) {
		return false
	}
	defer c.handler.tokenWaiting.exit(c.team)
	until := c.handler.now().Add(tokenWait)
	for c.handler.now().Before(until) {
		if !c.sleep(tokenPoll) {
			return false
		}
		if c.handler.Limits.Spare(limit).Tokens >= 1 {
			return true
		}
	}
	return false
}

func mayWait(err error) bool {
	_, over := err.(*OverRateError)
	return over
}

// takeToken takes one request of the team's rate and burst.
func (c *call) takeToken() error {
	limit := TeamLimit(c.team)
	switch d := c.handler.Limits.Take(limit, 1).(type) {
	case share.Granted:
		c.grant = d.Grant
		return nil
	case share.Refused:
		if d.Reason == share.Unconfirmed {
			return &RateUnconfirmedError{
				Team:  c.team,
				Retry: d.Retry,
			}
		}
		return &OverRateError{
			Team:  c.team,
			Retry: d.Retry,
		}
	default:
		return &UnknownTeamError{
			Team: c.team,
		}
	}
}

// giveBack returns what a request that was not run took of its team's rate.
func (c *call) giveBack() {
	if c.grant.Limit != "" {
		c.handler.Limits.GiveBack(c.grant)
	}
}

// sleep waits, and reports false if the request's time ran out.
func (c *call) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
