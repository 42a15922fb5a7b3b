package bufferproxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestOfAClosedConnectionIsNotSent guards against requests that run although their connection was closed for another
// one before a server was sought.
func TestRequestOfAClosedConnectionIsNotSent(t *testing.T) {
	host := newTestHost(t, respondOK)
	host.handler.Keep = func(*http.Request) bool { return false }
	response, _ := host.send(host.request(http.MethodPost, "/orders/7", "an order"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, host.requestCounts[0].Load())
}
