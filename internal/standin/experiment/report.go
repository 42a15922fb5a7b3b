package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilline.example/trefoilline/internal/standin/caller"
)

const (
	// withinRate is the part of its rate up to which a team's refusals for its
	// rate are wrongful.
	withinRate = 0.9
	// recoveredPart is the answered part of a second at which a fault is over.
	recoveredPart = 0.99
)

// Report is what came of a run.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Duration is how long requests were sent.
	Duration Duration `json:"length"`
	// Partial is true if the run was ended before the plan's length.
	Partial bool          `json:"partial"`
	Total   Totals        `json:"total"`
	Teams   []TeamReport  `json:"teams"`
	Faults  []FaultReport `json:"faults"`
}

// Totals sums up all teams.
type Totals struct {
	Sent               int `json:"sent"`
	Answered           int `json:"answered"`
	NotRun             int `json:"not-run"`
	OutcomeUnknown     int `json:"unknown"`
	Unreachable        int `json:"unreached"`
	NotSent            int `json:"withheld"`
	WrongfulRejections int `json:"wrongful-refusals"`
	// LowestAnsweredShareTeam is the team with the lowest answered part.
	LowestAnsweredShareTeam string  `json:"lowest-answered-team"`
	LowestAnsweredShare     float64 `json:"lowest-answered-part"`
	// HighestP99Team is the team with the highest 99th percentile.
	HighestP99Team         string  `json:"highest-p99-team"`
	HighestP99Milliseconds float64 `json:"highest-p99-ms"`
}

// TeamReport is what came of one team's requests.
type TeamReport struct {
	Team           string        `json:"team"`
	Sent           int           `json:"sent"`
	Answered       int           `json:"answered"`
	NotRun         int           `json:"not-run"`
	Reasons        []ReasonCount `json:"reasons"`
	OutcomeUnknown int           `json:"unknown"`
	Unreachable    int           `json:"unreached"`
	// Withheld requests were due above the plan's bound and not sent.
	NotSent int `json:"withheld"`
	// WrongfulRejections are refusals for the rate in a stretch in which the team
	// sent at most 90% of it.
	WrongfulRejections int `json:"wrongful-refusals"`
	// AnsweredShare is 1 for a team that sent nothing.
	AnsweredShare float64 `json:"answered-part"`
	// Latencies are those of answered requests, from when each was due, in
	// milliseconds.
	P50 float64 `json:"p50-ms"`
	P90 float64 `json:"p90-ms"`
	P99 float64 `json:"p99-ms"`
	Max float64 `json:"max-ms"`
}

// ReasonCount counts the requests that were not answered for one reason.
type ReasonCount struct {
	// Outcome tells whether they were not run, unknown or unreached.
	Outcome caller.Outcome `json:"kind"`
	Reason  string         `json:"reason"`
	Count   int            `json:"count"`
}

// FaultReport is how the fleet took one fault.
type FaultReport struct {
	At   Duration `json:"at"`
	URL  string   `json:"url"`
	Body string   `json:"body"`
	// Recovery lasts from the fault to the end of the last second, before the
	// next fault, whose answered part is below 0.99; zero if there is none.
	RecoveryTime Duration `json:"recovery"`
	// Recovered is false if the last whole second was still below.
	Recovered bool `json:"recovered"`
	// Error tells why the fault did not come in force.
	Error string `json:"failed,omitempty"`
}

// Report works out the measures of what was counted so far.
func (t *Collector) Report() *Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.init()
	report := &Report{
		Name:     t.Plan.Name,
		Seed:     t.Plan.Seed,
		Duration: Duration(t.length()),
		Partial:  t.cut != 0,
	}
	for i := range t.teams {
		report.Teams = append(report.Teams, t.teamReport(i))
	}
	report.Total = sum(report.Teams)
	for i := range t.Plan.Faults {
		report.Faults = append(report.Faults, t.faultReport(i))
	}
	return report
}

func (t *Collector) teamReport(team int) TeamReport {
	counted := &t.teams[team]
	report := counted.report
	report.Reasons = reasonCounts(counted.reasons)
	report.AnsweredShare = part(report.Answered, report.Sent)
	for _, surging := range []bool{false, true} {
		if t.within(team, surging) {
			report.WrongfulRejections += counted.stretch(surging).overRate
		}
	}
	report.P50 = quantile(counted.latencies, 50)
	report.P90 = quantile(counted.latencies, 90)
	report.P99 = quantile(counted.latencies, 99)
	report.Max = quantile(counted.latencies, 100)
	return report
}

// within tells whether a team sent at most 90% of its rate in a stretch.
func (t *Collector) within(team int, surging bool) bool {
	planned := t.Plan.Teams[team]
	length := t.length()
	calm := length
	if planned.Surge != nil {
		calm = min(length, time.Duration(planned.Surge.Start))
	}
	seconds := calm.Seconds()
	if surging {
		seconds = (length - calm).Seconds()
	}
	sent := t.teams[team].stretch(surging).sent
	return float64(sent) <= withinRate*planned.AllowedRate*seconds
}

func sum(teams []TeamReport) Totals {
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

func part(answered, sent int) float64 {
	if sent == 0 {
		return 1
	}
	return float64(answered) / float64(sent)
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

func reasonCounts(counts map[reasonKey]int) []ReasonCount {
	list := make([]ReasonCount, 0, len(counts))
	for r, n := range counts {
		list = append(list, ReasonCount{
			Outcome: r.kind,
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
