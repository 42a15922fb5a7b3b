package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/command"
)

// Logs of two hosts that handled the same request one after the other. In accraLog,
// each line has the prefix that a log collector adds.
const (
	accraLog = `12.1 accra-1 {"level":"info","ts":"2026-05-19T12:23:40Z","msg":"zones-evacuated","host":"accra-1","event":212,"zones":["accra-a"]}
12.2 accra-1 {"level":"info","ts":"2026-05-19T12:23:46Z","msg":"configuration-in-force","host":"accra-1","event":211,"version":7}
12.3 accra-1 {"level":"info","ts":"2026-05-19T12:23:47.5Z","msg":"request-ended","host":"accra-1","event":405,"request":"r1","took":0.4,"status":503,"error":"no free slot"}
12.3 accra-1 {"level":"info","ts":"2026-05-19T12:23:47.6Z","msg":"request-ended","host":"accra-1","event":405,"request":"r2","took":0.4,"status":503}
panic: not an event
`
	kumasiLog = `{"level":"info","ts":"2026-05-19T12:23:48.25Z","msg":"request-late","host":"kumasi-1","event":407,"request":"r1","took":0.5,"status":200}
{"level":"info","ts":"2026-05-19T12:23:47Z","msg":"store-lost","host":"kumasi-1","event":214,"prefix":"config/"}
`
)

// TestExplainSelectsRequestAndNearbyHostEvents checks that explain leaves out other requests,
// events of the hosts outside the time window, and lines that are not events.
func TestExplainSelectsRequestAndNearbyHostEvents(t *testing.T) {
	e := newTestEnv(t)
	directory := t.TempDir()
	accra := filepath.Join(directory, "accra.log")
	kumasi := filepath.Join(directory, "kumasi.log")
	require.NoError(t, os.WriteFile(accra, []byte(accraLog), 0o600))
	require.NoError(t, os.WriteFile(kumasi, []byte(kumasiLog), 0o600))

	out := e.runOK(t, "", "explain", "r1", accra, kumasi)
	var rows []string
	for row := range strings.Lines(out) {
		rows = append(rows, strings.Join(strings.Fields(row), " "))
	}
	require.Equal(t, []string{
		"TIME HOST EVENT FIELDS",
		"12:23:46.000 accra-1 configuration-in-force version=7",
		"12:23:47.000 kumasi-1 store-lost prefix=config/",
		"12:23:47.500 accra-1 request-ended error=no free slot request=r1 status=503 took=0.4",
		"12:23:48.250 kumasi-1 request-late request=r1 status=200 took=0.5",
	}, rows)
	require.Contains(t, e.runOK(t, kumasiLog, "explain", "r1", "-"), "request-late")
	e.runFails(t, command.ExitNotFound, `"r3"`, "", "explain", "r3", accra, kumasi)
	e.runFails(t, command.ExitUsage, "arg", "", "explain", "r1")
	e.runFails(t, command.ExitOther, "none.log", "", "explain", "r1", filepath.Join(directory, "none.log"))
}
