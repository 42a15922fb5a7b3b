package bufferproxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTargetWithTheKeyIsRejected guards against a request that a server gets with the key in its query, or changed.
func TestTargetWithTheKeyIsRejected(t *testing.T) {
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "done") })
	response, err := http.DefaultClient.Do(host.request(http.MethodGet, "/stock/1?a=good-key", ""))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.Zero(t, host.requestCounts[0].Load())
}
