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

func runCheck(arguments ...string) (string, error) {
	command := daemon.NewCommand()
	var output bytes.Buffer
	command.SetOut(&output)
	command.SetErr(&output)
	command.SetArgs(append([]string{"check"}, arguments...))
	err := command.Execute()
	return output.String(), err
}

// TestCheckReportsAllInvalidSettings checks that the command reports all invalid
// settings in one run, not only the first, and does not print the secret.
func TestCheckReportsAllInvalidSettings(t *testing.T) {
	_, err := runCheck("--region", "accra", "--listen", "accra:8080", "--keys-bound", "1h", "--log-format", "xml", "--fleet-secret", "short")
	var invalid *daemon.SettingsError
	require.ErrorAs(t, err, &invalid)
	var names []string
	for _, problem := range invalid.Problems {
		names = append(names, problem.Name)
		require.NotEmpty(t, problem.Accepted)
	}
	require.Equal(t, []string{"host", "zone", "listen", "store", "fleet-secret", "keys-bound", "log-format"}, names)
	require.NotContains(t, err.Error(), "short")
}

// TestCheckAcceptsExampleSettingsAndHidesSecret reads the settings of each example
// deployment from environment variables. It guards against examples that do not pass
// the check and against a secret in the output.
func TestCheckAcceptsExampleSettingsAndHidesSecret(t *testing.T) {
	for _, deployment := range []string{"chalkline", "vargas"} {
		setEnvironment(t, "../../examples/"+deployment+"/entry-1.env")
		t.Setenv("TREFOILLINED_FLEET_SECRET", secret)
		output, err := runCheck()
		require.NoError(t, err)
		require.Contains(t, output, "environment variable TREFOILLINED_ZONE")
		require.NotContains(t, output, secret)
	}
}

// setEnvironment sets the variables of an environment file for the time of the test.
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
