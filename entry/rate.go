package entry

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/share"
)

const (
	// rateWait is how long a request may wait for tokens that other hosts lend
	// this one: a team whose callers have just come here is within its rate,
	// and its tokens are a message away.
	rateWait = time.Second
	// ratePoll is the time between two looks at the tokens.
	ratePoll = 20 * time.Millisecond
	// maxRateWaiting bounds the requests of one team that wait for tokens on a
	// host, so that a team far above its rate does not pile up here.
	maxRateWaiting = 64
)

// rateWaiting counts the requests of each team that wait for tokens on a host.
type rateWaiting struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (w *rateWaiting) enter(team string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.counts[team] >= maxRateWaiting {
		return false
	}
	if w.counts == nil {
		w.counts = make(map[string]int)
	}
	w.counts[team]++
	return true
}

func (w *rateWaiting) exit(team string) {
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
	if err == nil || !mayWait(err) || !c.handler.rateWaiting.enter(c.team) {
		return err
	}
	defer c.handler.rateWaiting.exit(c.team)
	until := c.handler.now().Add(rateWait)
	for c.handler.now().Before(until) {
		if !c.sleep(ratePoll) {
			return err
		}
		// Only a host that has a token asks for it: each refusal counts as
		// demand.
		if c.handler.Limits.LimitStatus(TeamLimit(c.team)).Available < 1 {
			continue
		}
		if err = c.takeToken(); err == nil {
			return nil
		}
	}
	return err
}

func mayWait(err error) bool {
	_, over := err.(*OverRateError)
	return over
}

// takeToken takes one request of the team's rate and burst.
func (c *call) takeToken() error {
	limit := TeamLimit(c.team)
	switch d := c.handler.Limits.Acquire(limit, 1).(type) {
	case share.Granted:
		c.grant = d.Grant
		return nil
	case share.Refused:
		if d.Reason == share.Unconfirmed {
			return &RateUnconfirmedError{
				Team:  c.team,
				Retry: d.RetryAfter,
			}
		}
		return &OverRateError{
			Team:  c.team,
			Retry: d.RetryAfter,
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
		c.handler.Limits.ReturnGrant(c.grant)
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
