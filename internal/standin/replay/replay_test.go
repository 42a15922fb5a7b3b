package replay_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/replay"
)

const seed = 1

func read(t *testing.T, name string) string {
	text, err := os.ReadFile("../../../examples/" + name + "/trace.jsonl")
	require.NoError(t, err)
	return string(text)
}

func check(t *testing.T, text string) error {
	trace, err := replay.ReadTrace(strings.NewReader(text))
	require.NoError(t, err)
	report := trace.Replay(seed)
	return report.Check(trace)
}

// TestRecordedTraces plays what callers of each deployment sent; Vargas' with
// the store down.
func TestRecordedTraces(t *testing.T) {
	require.NoError(t, check(t, read(t, "chalkline")))
	require.NoError(t, check(t, read(t, "vargas")))
}

// TestStatedOutcomeCanFail halves a team's rate under the same requests.
func TestStatedOutcomeCanFail(t *testing.T) {
	halved := strings.Replace(read(t, "chalkline"), `"rate": 33.4, "burst": 66.8`, `"rate": 16.7, "burst": 33.4`, 1)
	require.ErrorAs(t, check(t, halved), new(*replay.UnexpectedOutcomeError))
}

func TestFaultyLinesAreNamed(t *testing.T) {
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
