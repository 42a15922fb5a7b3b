package daemon_test

import (
	"bufio"
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/daemon"
)

const secret = "a-secret-of-the-fleet"

func check(arguments ...string) (string, error) {
	command := daemon.NewCommand()
	var output bytes.Buffer
	command.SetOut(&output)
	command.SetErr(&output)
	command.SetArgs(append([]string{"check"}, arguments...))
	err := command.Execute()
	return output.String(), err
}

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	_, err := check("--region", "accra", "--listen", "accra:8080", "--keys-bound", "1h", "--log-format", "xml", "--fleet-secret", "short")
	var faults *daemon.SettingsError
	require.ErrorAs(t, err, &faults)
	var names []string
	for _, f := range faults.Problems {
		names = append(names, f.Name)
		require.NotEmpty(t, f.Accepted)
	}
	require.Equal(t, []string{"host", "zone", "listen", "store", "fleet-secret", "keys-bound", "log-format"}, names)
	require.NotContains(t, err.Error(), "short")
}

// TestExampleSettings checks the settings of each deployment, which come from
// the environment, with the secret hidden.
func TestExampleSettings(t *testing.T) {
	for _, deployment := range []string{"chalkline", "vargas"} {
		setEnvironment(t, "../../examples/"+deployment+"/entry-1.env")
		t.Setenv("TREFOILLINED_FLEET_SECRET", secret)
		output, err := check()
		require.NoError(t, err)
		require.Contains(t, output, "environment variable TREFOILLINED_ZONE")
		require.NotContains(t, output, secret)
	}
}

func setEnvironment(t *testing.T, path string) {
	file, err := os.Open(path)
	require.NoError(t, err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if name, value, found := strings.Cut(lines.Text(), "="); found && !strings.HasPrefix(name, "#") {
			t.Setenv(name, value)
		}
	}
}
