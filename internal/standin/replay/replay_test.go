package replay_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/replay"
)

const seed = 1

func readExample(t *testing.T, name string) string {
	text, err := os.ReadFile("../../../examples/" + name + "/trace.jsonl")
	require.NoError(t, err)
	return string(text)
}

func replayAndCheck(t *testing.T, text string) error {
	trace, err := replay.ReadTrace(strings.NewReader(text))
	require.NoError(t, err)
	report := trace.Replay(seed)
	return report.Check(trace)
}

// TestExampleTracesMeetExpectations replays the traces of both example deployments. In the trace
// of Vargas the store is down for a while.
func TestExampleTracesMeetExpectations(t *testing.T) {
	require.NoError(t, replayAndCheck(t, readExample(t, "chalkline")))
	require.NoError(t, replayAndCheck(t, readExample(t, "vargas")))
}

// TestCheckFailsWhenTooManyRequestsAreRejected halves the rate of one team in a
// trace, so that more of its requests are rejected than the trace expects.
func TestCheckFailsWhenTooManyRequestsAreRejected(t *testing.T) {
	halved := strings.Replace(readExample(t, "chalkline"), `"rate": 33.4, "burst": 66.8`, `"rate": 16.7, "burst": 33.4`, 1)
	require.ErrorAs(t, replayAndCheck(t, halved), new(*replay.UnexpectedOutcomeError))
}

func TestReadTraceReportsInvalidLines(t *testing.T) {
	for _, text := range []string{
		`{"kind": "reqest"}`,
		`{"kind": "request", "at": "soon", "team": "a", "host": "b"}`,
		`{"kind": "request", "team": "unknown", "host": "b"}`,
		`{"kind": "expect", "team": "unknown"}`,
		`no line`,
	} {
		_, err := replay.ReadTrace(strings.NewReader(text))
		require.ErrorAs(t, err, new(*replay.LineError), text)
	}
}
