package experiment_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/caller"
	"trefoilline.example/trefoilline/internal/standin/experiment"
)

func TestExamplePlansAreSoundAndRepeatable(t *testing.T) {
	for _, name := range []string{"chalkline", "vargas"} {
		path := "../../../examples/" + name + "/experiment.json"
		plan, err := experiment.ReadPlan(path, func(string) (string, bool) { return "a-key", true })
		require.NoError(t, err)
		require.Len(t, plan.Teams, 8)
		require.Equal(t, plan.Arrivals(), plan.Arrivals())
		_, err = experiment.ReadPlan(path, func(string) (string, bool) { return "", false })
		var wrong *experiment.InvalidPlanError
		require.ErrorAs(t, err, &wrong)
		require.Len(t, wrong.Problems, 8, "every key that is missing")
	}
}

func TestPlanReportsAllFaultsAtOnce(t *testing.T) {
	path := t.TempDir() + "/plan.json"
	text := `{"entries": ["192.0.2.1:80"], "teams": [{"name": "a"}], "requests": [{"path": "x"}], "faults": [{"at": "-1s"}]}`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err := experiment.ReadPlan(path, os.LookupEnv)
	var wrong *experiment.InvalidPlanError
	require.ErrorAs(t, err, &wrong)
	var fields []string
	for _, f := range wrong.Problems {
		fields = append(fields, f.Field)
	}
	require.Equal(t, []string{"length", "timeout", "max-open", "entries[0]", "teams[0].rate", "teams[0].allowed-rate", "teams[0].skew",
		"requests[0].method", "requests[0].path", "requests[0].part", "faults[0].at", "faults[0].method", "faults[0].url"}, fields)
}

func TestMeasures(t *testing.T) {
	var plan experiment.Plan
	require.NoError(t, json.Unmarshal([]byte(`{"length": "6s", "faults": [{"at": "1.5s"}, {"at": "5s"}], "teams": [
		{"name": "small", "allowed-rate": 10}, {"name": "large", "allowed-rate": 10, "surge": {"from": "3s", "factor": 5}}]}`), &plan))
	var tally experiment.Collector
	tally.Plan = &plan
	send := func(team, second, count int, kind caller.Outcome, reason string) {
		var arrival experiment.Arrival
		arrival.TeamIndex = team
		arrival.At = time.Duration(second) * time.Second
		var result caller.Result
		result.Outcome = kind
		result.Reason = reason
		result.Latency = time.Duration(second+1) * time.Millisecond
		for range count {
			tally.Record(arrival, result)
		}
	}
	for second := range 6 {
		send(0, second, 5, caller.Answered, "")
	}
	send(0, 2, 1, caller.NotRun, "over-rate")
	send(0, 5, 1, caller.OutcomeUnknown, "")
	send(1, 4, 40, caller.NotRun, "over-rate")
	report := tally.Report()
	require.Equal(t, 1, report.Total.WrongfulRejections, "large sent more than 90% of its rate in its surge")
	require.InDelta(t, 30.0/32, report.Teams[0].AnsweredShare, 1e-9)
	require.InDelta(t, 3, report.Teams[0].P50, 0.01)
	require.Equal(t, "large", report.Total.LowestAnsweredShareTeam)
	require.Equal(t, "small", report.Total.HighestP99Team)
	require.Equal(t, experiment.Duration(1500*time.Millisecond), report.Faults[0].RecoveryTime, "up to the end of the third second")
	require.True(t, report.Faults[0].Recovered)
	require.False(t, report.Faults[1].Recovered)
	require.InDelta(t, 1, *experiment.Compare(report, report).Rows[0].Ratio, 1e-9)
}
