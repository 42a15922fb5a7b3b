package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/internal/standin/caller"
)

const (
	significantFigures = 3
	// maxReasons bounds the reasons that are counted separately for each team.
	maxReasons  = 24
	otherReason = "other"
)

// Collector counts the results of a run's requests. Plan must be set. It is safe
// for concurrent use.
type Collector struct {
	Plan *Plan

	mutex       sync.Mutex
	teams       []teamCounts
	seconds     []secondCounts
	faultErrors map[int]string
	// endedAt is the offset at which the run ended early; zero if it did not.
	endedAt time.Duration
}

// teamCounts holds the results of one team's requests.
type teamCounts struct {
	report      TeamReport
	latencies   *hdrhistogram.Histogram
	reasons     map[reasonKey]int
	beforeSurge periodCounts
	inSurge     periodCounts
}

// reasonKey is the outcome and reason of a request that was not answered.
type reasonKey struct {
	outcome caller.Outcome
	reason  string
}

// periodCounts counts a team's requests before its surge, or in it.
type periodCounts struct {
	sent        int
	rateLimited int
}

// secondCounts counts the requests that were due in one second of the run.
type secondCounts struct {
	answered   int
	unanswered int
	// rateLimited counts rate limit rejections by team. They count as unanswered
	// only if the team sent at most 90% of its allowed rate in the period, which
	// is known only after the run.
	rateLimited []rateLimitedCounts
}

// rateLimitedCounts counts a team's rate limit rejections before and in its
// surge.
type rateLimitedCounts struct {
	beforeSurge int
	inSurge     int
}

func (c *Collector) init() {
	if c.teams != nil {
		return
	}
	c.teams = make([]teamCounts, len(c.Plan.Teams))
	for i, team := range c.Plan.Teams {
		c.teams[i].report.Team = team.Name
		c.teams[i].latencies = hdrhistogram.New(1, maxTimeout.Microseconds(), significantFigures)
		c.teams[i].reasons = make(map[reasonKey]int)
	}
	duration := time.Duration(c.Plan.Duration)
	c.seconds = make([]secondCounts, (duration+time.Second-1)/time.Second)
	for i := range c.seconds {
		c.seconds[i].rateLimited = make([]rateLimitedCounts, len(c.Plan.Teams))
	}
	c.faultErrors = make(map[int]string)
}

// RecordNotSent counts a request that was due but not sent, because too many were
// in flight.
func (c *Collector) RecordNotSent(a Arrival) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.init()
	c.teams[a.TeamIndex].report.NotSent++
}

// RecordFaultFailure records why a fault of the plan could not be applied.
func (c *Collector) RecordFaultFailure(faultIndex int, cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.init()
	c.faultErrors[faultIndex] = cause.Error()
}

// RecordEarlyEnd records that the run ended at the given offset, before the plan's
// duration.
func (c *Collector) RecordEarlyEnd(at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// Zero would mean that the run did not end early.
	c.endedAt = max(at, 1)
}

// duration returns how long requests were sent.
func (c *Collector) duration() time.Duration {
	if c.endedAt != 0 {
		return c.endedAt
	}
	return time.Duration(c.Plan.Duration)
}

// Record counts the result of a request.
func (c *Collector) Record(a Arrival, result caller.Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.init()
	team := &c.teams[a.TeamIndex]
	team.add(result)
	inSurge := c.Plan.Teams[a.TeamIndex].inSurge(a.At)
	rateLimited := result.Outcome == caller.NotRun && result.Reason == string(entry.RateLimitExceeded)
	team.period(inSurge).add(rateLimited)
	c.seconds[a.At/time.Second].add(a.TeamIndex, result, inSurge, rateLimited)
}

func (t *teamCounts) add(result caller.Result) {
	t.report.Sent++
	t.addReason(result)
	switch result.Outcome {
	case caller.Answered:
		t.report.Answered++
		// A latency above maxTimeout counts as maxTimeout.
		_ = t.latencies.RecordValue(min(result.Latency, maxTimeout).Microseconds())
	case caller.NotRun:
		t.report.NotRun++
	case caller.OutcomeUnknown:
		t.report.OutcomeUnknown++
	case caller.Unreachable:
		t.report.Unreachable++
	}
}

// addReason counts the reason of a request that was not answered. Errors of the
// transport contain port numbers, so the number of different reasons is limited.
func (t *teamCounts) addReason(result caller.Result) {
	if result.Outcome == caller.Answered {
		return
	}
	key := reasonKey{
		outcome: result.Outcome,
		reason:  result.Reason,
	}
	if _, known := t.reasons[key]; !known && len(t.reasons) >= maxReasons {
		key.reason = otherReason
	}
	t.reasons[key]++
}

func (t *teamCounts) period(inSurge bool) *periodCounts {
	if inSurge {
		return &t.inSurge
	}
	return &t.beforeSurge
}

func (s *periodCounts) add(rateLimited bool) {
	s.sent++
	if rateLimited {
		s.rateLimited++
	}
}

func (s *secondCounts) add(teamIndex int, result caller.Result, inSurge, rateLimited bool) {
	switch {
	case result.Outcome == caller.Answered:
		s.answered++
	case rateLimited && inSurge:
		s.rateLimited[teamIndex].inSurge++
	case rateLimited:
		s.rateLimited[teamIndex].beforeSurge++
	default:
		s.unanswered++
	}
}
