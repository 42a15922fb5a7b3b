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

// TestEachEndOfARequestIsLoggedAndMeasured has one request pass late and one whose
// outcome is unknown: the line of each names what decided about it, and none holds a key.
func TestEachEndOfARequestIsLoggedAndMeasured(t *testing.T) {
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			broken(w, r)
		}
		sound(w, r)
	})
	var lines bytes.Buffer
	w.handler.Log.Logger = zap.New(zapcore.NewCore(
		zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&lines), zapcore.InfoLevel))
	hasty := configuration()
	hasty.Version++
	hasty.Routes[0].LatencyTarget = time.Nanosecond
	w.handler.SetConfiguration(routing.NewIndex(hasty))
	response, _ := w.send(w.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	response, _ = w.send(w.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	text := lines.String()
	require.Contains(t, text, observe.RequestSlow.Name)
	require.Contains(t, text, observe.RequestFailed.Name)
	for _, field := range []string{`"team":"north"`, `"route":"stock"`, `"servers":["`, `"request":"request-1"`, `"version":`, `"waited":`} {
		require.Contains(t, text, field)
	}
	require.NotContains(t, text, "good-key")
	var measures bytes.Buffer
	w.handler.Metrics.WriteText(&measures)
	for _, name := range []string{"latency/north", "late/stock", "refused/north/502"} {
		require.Contains(t, measures.String(), name)
	}
}
