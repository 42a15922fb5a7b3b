package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilline.example/trefoilline/internal/standin/caller"
)

const (
	// maxCompliantRateShare is a share of the allowed rate. A team that sends at
	// most this share should see no rate limit rejections; those that it gets are
	// counted as wrongful.
	maxCompliantRateShare = 0.9
	// recoveredShare is the share of answered requests in a second from which
	// the fleet counts as recovered from a fault.
	recoveredShare = 0.99
)

// Report holds the results of a run.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Duration is how long requests were sent.
	Duration Duration `json:"length"`
	// Partial is true if the run ended before the plan's duration.
	Partial bool          `json:"partial"`
	Total   Totals        `json:"total"`
	Teams   []TeamReport  `json:"teams"`
	Faults  []FaultReport `json:"faults"`
}

// Totals sums up the results of all teams.
type Totals struct {
	Sent               int `json:"sent"`
	Answered           int `json:"answered"`
	NotRun             int `json:"not-run"`
	OutcomeUnknown     int `json:"unknown"`
	Unreachable        int `json:"unreached"`
	NotSent            int `json:"withheld"`
	WrongfulRejections int `json:"wrongful-refusals"`
	// LowestAnsweredShareTeam is the team with the lowest share of answered requests.
	LowestAnsweredShareTeam string  `json:"lowest-answered-team"`
	LowestAnsweredShare     float64 `json:"lowest-answered-part"`
	// HighestP99Team is the team with the highest 99th percentile of latency.
	HighestP99Team         string  `json:"highest-p99-team"`
	HighestP99Milliseconds float64 `json:"highest-p99-ms"`
}

// TeamReport holds the results of one team's requests.
type TeamReport struct {
	Team           string        `json:"team"`
	Sent           int           `json:"sent"`
	Answered       int           `json:"answered"`
	NotRun         int           `json:"not-run"`
	Reasons        []ReasonCount `json:"reasons"`
	OutcomeUnknown int           `json:"unknown"`
	Unreachable    int           `json:"unreached"`
	// NotSent is the number of requests that were due but not sent, because
	// MaxInFlight requests were in flight.
	NotSent int `json:"withheld"`
	// WrongfulRejections is the number of rate limit rejections in a period
	// (before the surge or in it) in which the team sent at most 90% of its
	// allowed rate.
	WrongfulRejections int `json:"wrongful-refusals"`
	// AnsweredShare is the share of sent requests that were answered; 1 for a
	// team that sent none.
	AnsweredShare float64 `json:"answered-part"`
	// P50 to Max are percentiles and maximum of the latency of answered requests,
	// in milliseconds, from the time at which each was due.
	P50 float64 `json:"p50-ms"`
	P90 float64 `json:"p90-ms"`
	P99 float64 `json:"p99-ms"`
	Max float64 `json:"max-ms"`
}

// ReasonCount is the number of requests that were not answered for one reason.
type ReasonCount struct {
	// Outcome tells whether the requests were not run, unknown or unreachable.
	Outcome caller.Outcome `json:"kind"`
	Reason  string         `json:"reason"`
	Count   int            `json:"count"`
}

// FaultReport describes how the fleet recovered from one fault.
type FaultReport struct {
	At   Duration `json:"at"`
	URL  string   `json:"url"`
	Body string   `json:"body"`
	// RecoveryTime is the time from the fault to the end of the last second,
	// before the next fault, in which the share of answered requests was below
	// 0.99; zero if there was no such second.
	RecoveryTime Duration `json:"recovery"`
	// Recovered is false if that share was still below 0.99 in the last second
	// before the next fault or the end of the run. A second without requests has
	// a share of 1, also after the end of a run that ended early. Recovered is
	// computed in the same way for a fault that could not be applied.
	Recovered bool `json:"recovered"`
	// Error is why the fault could not be applied; empty if it was.
	Error string `json:"failed,omitempty"`
}

// Report computes the report of the requests recorded so far.
func (c *Collector) Report() *Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.init()
	report := &Report{
		Name:     c.Plan.Name,
		Seed:     c.Plan.Seed,
		Duration: Duration(c.duration()),
		Partial:  c.endedAt != 0,
	}
	for i := range c.teams {
		report.Teams = append(report.Teams, c.teamReport(i))
	}
	report.Total = sumTeams(report.Teams)
	for i := range c.Plan.Faults {
		report.Faults = append(report.Faults, c.faultReport(i))
	}
	return report
}

func (c *Collector) teamReport(teamIndex int) TeamReport {
	counts := &c.teams[teamIndex]
	report := counts.report
	report.Reasons = reasonCounts(counts.reasons)
	report.AnsweredShare = share(report.Answered, report.Sent)
	for _, inSurge := range []bool{false, true} {
		if c.isWithinRate(teamIndex, inSurge) {
			report.WrongfulRejections += counts.period(inSurge).rateLimited
		}
	}
	report.P50 = latencyMilliseconds(counts.latencies, 50)
	report.P90 = latencyMilliseconds(counts.latencies, 90)
	report.P99 = latencyMilliseconds(counts.latencies, 99)
	report.Max = latencyMilliseconds(counts.latencies, 100)
	return report
}

// isWithinRate reports whether a team sent at most 90% of its allowed rate before
// its surge, or in its surge. The caller holds c.mutex.
func (c *Collector) isWithinRate(teamIndex int, inSurge bool) bool {
	planned := c.Plan.Teams[teamIndex]
	duration := c.duration()
	beforeSurge := duration
	if planned.Surge != nil {
		beforeSurge = min(duration, time.Duration(planned.Surge.Start))
	}
	seconds := beforeSurge.Seconds()
	if inSurge {
		seconds = (duration - beforeSurge).Seconds()
	}
	sent := c.teams[teamIndex].period(inSurge).sent
	return float64(sent) <= maxCompliantRateShare*planned.AllowedRate*seconds
}

func sumTeams(teams []TeamReport) Totals {
	var total Totals
	for i, t := range teams {
		total.Sent += t.Sent
		total.Answered += t.Answered
		total.NotRun += t.NotRun
		total.OutcomeUnknown += t.OutcomeUnknown
		total.Unreachable += t.Unreachable
		total.NotSent += t.NotSent
		total.WrongfulRejections += t.WrongfulRejections
		if i == 0 || t.AnsweredShare < total.LowestAnsweredShare {
			total.LowestAnsweredShareTeam = t.Team
			total.LowestAnsweredShare = t.AnsweredShare
		}
		if i == 0 || t.P99 > total.HighestP99Milliseconds {
			total.HighestP99Team = t.Team
			total.HighestP99Milliseconds = t.P99
		}
	}
	return total
}

func share(answered, sent int) float64 {
	if sent == 0 {
		return 1
	}
	return float64(answered) / float64(sent)
}

func latencyMilliseconds(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

func reasonCounts(counts map[reasonKey]int) []ReasonCount {
	list := make([]ReasonCount, 0, len(counts))
	for r, n := range counts {
		list = append(list, ReasonCount{
			Outcome: r.outcome,
			Reason:  r.reason,
			Count:   n,
		})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Outcome != list[j].Outcome {
			return list[i].Outcome < list[j].Outcome
		}
		return list[i].Reason < list[j].Reason
	})
	return list
}
