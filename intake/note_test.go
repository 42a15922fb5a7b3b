package intake_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/routing"
)

// TestEndOfRequestIsLoggedAndCounted sends a request that gets its response after the
// latency target, and one whose outcome is unknown. Their log lines must have the fields
// that operators need, and must not contain the API key.
func TestEndOfRequestIsLoggedAndCounted(t *testing.T) {
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			abort(w, r)
		}
		respondOK(w, r)
	})
	var logLines bytes.Buffer
	host.handler.Log.Logger = zap.New(zapcore.NewCore(
		zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&logLines), zapcore.InfoLevel))
	withShortTarget := configuration()
	withShortTarget.Version++
	withShortTarget.Routes[0].LatencyTarget = time.Nanosecond
	host.handler.SetConfiguration(routing.NewIndex(withShortTarget))
	response, _ := host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	response, _ = host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	logged := logLines.String()
	require.Contains(t, logged, observe.RequestSlow.Name)
	require.Contains(t, logged, observe.RequestFailed.Name)
	for _, field := range []string{`"team":"north"`, `"route":"stock"`, `"servers":["`, `"request":"request-1"`, `"version":`, `"waited":`} {
		require.Contains(t, logged, field)
	}
	require.NotContains(t, logged, "good-key")
	var metrics bytes.Buffer
	host.handler.Metrics.WriteText(&metrics)
	for _, name := range []string{"latency/north", "late/stock", "refused/north/502"} {
		require.Contains(t, metrics.String(), name)
	}
}
