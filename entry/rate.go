package entry

import (
	"sync/atomic"
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
	// maxRateWaiting bounds the requests that wait for tokens on a host, so that
	// a team far above its rate does not pile up here.
	maxRateWaiting = 256
)

// rateWaiting counts the requests that wait for tokens on a host.
type rateWaiting struct {
	count atomic.Int64
}

func (w *rateWaiting) enter() bool {
	if w.count.Add(1) > maxRateWaiting {
		w.count.Add(-1)
		return false
	}
	return true
}

func (w *rateWaiting) exit() {
	w.count.Add(-1)
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
	if err == nil || !mayWait(err) || !c.handler.rateWaiting.enter() {
		return err
	}
	defer c.handler.rateWaiting.exit()
	until := c.handler.now().Add(rateWait)
	for c.handler.now().Before(until) {
		if !c.sleep(ratePoll) {
			return err
		}
		// Only a host that has a token asks for it: each refusal counts as
		// demand.
		if c.handler.Limits.Spare(TeamLimit(c.team)).Tokens < 1 {
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
