package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
)

// TestCommandAppliesFaultsOverHTTP runs the command and checks, over HTTP, that a
// draining server rejects requests, that a healthy one runs them, and that the
// request log and the health show it. It ends with the command's context.
func TestCommandAppliesFaultsOverHTTP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	output, writer := io.Pipe()
	command := backend.NewCommand()
	command.SetArgs([]string{"--slots", "2", "--name", "s1"})
	command.SetOut(writer)
	stopped := make(chan error, 1)
	go func() { stopped <- command.ExecuteContext(ctx) }()
	line, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	base := "http://" + strings.TrimSpace(strings.TrimPrefix(line, "listening on "))

	require.Equal(t, http.StatusNoContent, post(t, base+backend.FaultsPath, `{"draining":true}`).StatusCode)
	rejected := post(t, base+"/orders", "x")
	require.Equal(t, string(header.Draining), rejected.Header.Get(header.NotRun))
	require.Equal(t, "r1", rejected.Header.Get(header.RequestID))
	require.Equal(t, backend.Health{
		State: backend.Draining,
		Slots: 2,
	}, getJSON[backend.Health](t, base+backend.HealthPath))
	require.Equal(t, http.StatusBadRequest, post(t, base+backend.FaultsPath, `{"late":"soon"}`).StatusCode)
	require.Equal(t, http.StatusNoContent, post(t, base+backend.FaultsPath, `{}`).StatusCode)
	require.Equal(t, http.StatusOK, post(t, base+"/orders", "x").StatusCode)
	requestLog := getJSON[backend.RequestLog](t, base+backend.RequestLogPath)
	require.Equal(t, map[string]int{"r1": 1}, requestLog.RunCounts)
	require.Len(t, requestLog.Entries, 2)
	cancel()
	require.NoError(t, <-stopped)
}

func post(t *testing.T, target, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, target, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(header.RequestID, "r1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response
}

func getJSON[T any](t *testing.T, target string) T {
	t.Helper()
	response, err := http.Get(target)
	require.NoError(t, err)
	defer response.Body.Close()
	var value T
	require.NoError(t, json.NewDecoder(response.Body).Decode(&value))
	return value
}
