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
	// maxReasons bounds the reasons that are told apart for each team.
	maxReasons  = 24
	otherReason = "other"
)

// Collector counts what came of the requests of a run. It needs a Plan and is safe
// for use by several goroutines.
type Collector struct {
	Plan *Plan

	mutex   sync.Mutex
	teams   []teamTally
	seconds []secondTally
	failed  map[int]string
	// cut is when the run ended early; zero if it did not.
	cut time.Duration
}

// teamTally counts one team's requests.
type teamTally struct {
	report    TeamReport
	latencies *hdrhistogram.Histogram
	reasons   map[reasonKey]int
	calm      stretch
	surge     stretch
}

// reasonKey is why a request was not answered.
type reasonKey struct {
	kind   caller.Outcome
	reason string
}

// stretch counts a team's requests before its surge or in it.
type stretch struct {
	sent     int
	overRate int
}

// secondTally counts the requests that were due in one second of the run.
type secondTally struct {
	answered int
	missed   int
	// overRate counts refusals for a rate by team, since only the whole run
	// tells whether they were rightful.
	overRate []stretchPair
}

// stretchPair counts refusals in each stretch of a team.
type stretchPair struct {
	calm  int
	surge int
}

func (t *Collector) init() {
	if t.teams != nil {
		return
	}
	t.teams = make([]teamTally, len(t.Plan.Teams))
	for i, team := range t.Plan.Teams {
		t.teams[i].report.Team = team.Name
		t.teams[i].latencies = hdrhistogram.New(1, maxTimeout.Microseconds(), significantFigures)
		t.teams[i].reasons = make(map[reasonKey]int)
	}
	length := time.Duration(t.Plan.Duration)
	t.seconds = make([]secondTally, (length+time.Second-1)/time.Second)
	for i := range t.seconds {
		t.seconds[i].overRate = make([]stretchPair, len(t.Plan.Teams))
	}
	t.failed = make(map[int]string)
}

// RecordNotSent counts a request that was due above the bound and not sent.
func (t *Collector) RecordNotSent(a Arrival) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.init()
	t.teams[a.TeamIndex].report.NotSent++
}

// RecordFaultFailure keeps the cause for which a fault of the plan is not in force.
func (t *Collector) RecordFaultFailure(fault int, cause error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.init()
	t.failed[fault] = cause.Error()
}

// RecordEarlyEnd says that the run ended at this moment, before its length.
func (t *Collector) RecordEarlyEnd(at time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cut = max(at, 1)
}

// length is how long requests were sent.
func (t *Collector) length() time.Duration {
	if t.cut != 0 {
		return t.cut
	}
	return time.Duration(t.Plan.Duration)
}

// Record counts the result of a request.
func (t *Collector) Record(a Arrival, result caller.Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.init()
	team := &t.teams[a.TeamIndex]
	team.count(result)
	surging := t.Plan.Teams[a.TeamIndex].surging(a.At)
	overRate := result.Outcome == caller.NotRun && result.Reason == string(entry.RateLimitExceeded)
	team.stretch(surging).add(overRate)
	t.seconds[a.At/time.Second].count(a.TeamIndex, result, surging, overRate)
}

func (t *teamTally) count(result caller.Result) {
	t.report.Sent++
	t.countReason(result)
	switch result.Outcome {
	case caller.Answered:
		t.report.Answered++
		// A latency above the highest counts as the highest.
		_ = t.latencies.RecordValue(min(result.Latency, maxTimeout).Microseconds())
	case caller.NotRun:
		t.report.NotRun++
	case caller.OutcomeUnknown:
		t.report.OutcomeUnknown++
	case caller.Unreachable:
		t.report.Unreachable++
	}
}

// countReason counts why a request was not answered. Errors of the transport
// name ports, so that their number has to be bounded.
func (t *teamTally) countReason(result caller.Result) {
	if result.Outcome == caller.Answered {
		return
	}
	key := reasonKey{
		kind:   result.Outcome,
		reason: result.Reason,
	}
	if _, known := t.reasons[key]; !known && len(t.reasons) >= maxReasons {
		key.reason = otherReason
	}
	t.reasons[key]++
}

func (t *teamTally) stretch(surging bool) *stretch {
	if surging {
		return &t.surge
	}
	return &t.calm
}

func (s *stretch) add(overRate bool) {
	s.sent++
	if overRate {
		s.overRate++
	}
}

func (s *secondTally) count(team int, result caller.Result, surging, overRate bool) {
	switch {
	case result.Outcome == caller.Answered:
		s.answered++
	case overRate && surging:
		s.overRate[team].surge++
	case overRate:
		s.overRate[team].calm++
	default:
		s.missed++
	}
}
